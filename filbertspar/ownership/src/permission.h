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
///   was made, by the owner's clock, however late it arrives. This ends
///   kMaxOutageTime after the last write that took effect.
///
/// A VM that claims knows when it first read the row that its claim replaces
/// (R), and the last time for which it may have stated that the store does not
/// answer it (A), which is before its term. The last write of the owner took
/// effect before R. So an owner that counts this VM among its peers sends its
/// last order by max(R + kMaxUnconfirmedTime, A + kMaxStatementAge), and any
/// owner by R + kMaxOutageTime. From the beginning of the later term to then
/// two VMs may send orders; where the VM that claims is a peer, that is less
/// than kMaxUnconfirmedTime.

namespace filbertspar {

/// For this long the owner also answers from its memory; the length of a queue
/// may be 2 s old.
inline constexpr Duration kMaxUnconfirmedTime = Milliseconds(1600);
inline constexpr Duration kMaxStatementAge = Seconds(1);
/// A VM that can reach the store receives a response at least every second,
/// when its change feed of the configuration returns.
inline constexpr Duration kStoreAwayTime = Milliseconds(1300);

/// Longer than the outages of the store for all VMs that the operators list.
inline constexpr Duration kMaxOutageTime = Seconds(10);

/// An owner that is confirmed forgets a peer whose link has been down for this
/// long: its VM is considered gone.
inline constexpr Duration kPeerRemovalDelay = Seconds(10);
/// For this long after it sent a ping that was answered a VM is among the peers
/// of the owner, with a margin for the age of the confirmation.
inline constexpr Duration kPeerMemory = kPeerRemovalDelay - Seconds(2);

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
bool MayGoOnUnconfirmed(TimePoint confirmed_at,
                        const std::vector<PeerStatement>& peers, TimePoint now);

/// \brief Whether an owner that may send orders may start tasks without
/// recording them first. One that is giving the ownership up may not: the row
/// that says so, and that all starts are recorded, may be stored already.
bool MayStartUnrecorded(TimePoint confirmed_at,
                        const std::vector<PeerStatement>& peers,
                        bool is_giving_up, TimePoint now);

}  // namespace filbertspar
