#include "filbertspar/ownership/src/permission.h"

#include <algorithm>

namespace filbertspar {
namespace {

/// After this long without the store, an owner whose peers cannot reach it
/// either sends starts that are not recorded in the store.
constexpr Duration kUnrecordedStartsDelay = Seconds(3);
/// Longer than the gaps that the next owner tolerates in a contact with the
/// store that it counts as continuous.
constexpr Duration kLongStoreAwayTime = Seconds(2);

}  // namespace

bool AllPeersLackStore(const std::vector<PeerStatement>& peers, TimePoint now,
                       Duration min_age) {
  return !peers.empty() &&
         std::all_of(peers.begin(), peers.end(), [&](const auto& peer) {
           return peer.m_connected && peer.m_store_age >= min_age &&
                  now < peer.m_stated_at + kMaxStatementAge;
         });
}

bool IsRecentlyConfirmed(TimePoint confirmed_at, TimePoint now) {
  return now < confirmed_at + kMaxUnconfirmedTime;
}

bool MayGoOnUnconfirmed(TimePoint confirmed_at,
                        const std::vector<PeerStatement>& peers,
                        TimePoint now) {
  return now < confirmed_at + kMaxOutageTime &&
         AllPeersLackStore(peers, now, kStoreAwayTime);
}

bool MayStartUnrecorded(TimePoint confirmed_at,
                        const std::vector<PeerStatement>& peers,
                        bool is_giving_up, TimePoint now) {
  return !is_giving_up && now > confirmed_at + kUnrecordedStartsDelay &&
         now < confirmed_at + kMaxOutageTime &&
         AllPeersLackStore(peers, now, kLongStoreAwayTime);
}

}  // namespace filbertspar
