#pragma once

#include <vector>

#include "filbertspar/base/base.h"

/// \file
/// \brief For how long an owner may send orders, and so for how long two VMs
/// may send them at the same time.
///
/// An owner sends orders while one of these holds:
/// - It sent its last write that took effect less than kMaxUnconfirmedTime ago.
/// - Each of its peers has stated less than kMaxStatementAge ago that the store
///   has not answered it for kStoreAwayTime. A statement counts from when it
///   was made, by the owner's clock, however late it arrives.

namespace filbertspar {

inline constexpr Duration kMaxUnconfirmedTime = Milliseconds(1600);
inline constexpr Duration kMaxStatementAge = Seconds(1);
/// A VM that can reach the store receives a response at least every second,
/// when its change feed of the configuration returns.
inline constexpr Duration kStoreAwayTime = Milliseconds(1300);

/// \brief What a peer has stated in its last ping.
struct PeerStatement {
  bool m_connected = false;
  /// Earliest time, by this VM's clock, at which it may have been made; min()
  /// before the first.
  TimePoint m_stated_at = TimePoint::min();
  /// Time since the peer last reached the store.
  Duration m_store_age{0};
};

/// \brief Whether all peers state that the store has not responded to them for
/// at least `min_age`. False without peers: there may be VMs that this one
/// cannot reach.
bool AllPeersLackStore(const std::vector<PeerStatement>& peers, TimePoint now,
                       Duration min_age);

/// \brief Whether an owner may send orders by its last write that took effect,
/// which it sent at `confirmed_at`.
bool IsRecentlyConfirmed(TimePoint confirmed_at, TimePoint now);

/// \brief Whether an owner may send orders by the statements of its peers.
bool MayGoOnUnconfirmed(const std::vector<PeerStatement>& peers, TimePoint now);

/// \brief Whether an owner that may send orders may start tasks without
/// recording them first.
bool MayStartUnrecorded(TimePoint confirmed_at,
                        const std::vector<PeerStatement>& peers, TimePoint now);

}  // namespace filbertspar
