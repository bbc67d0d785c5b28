#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "filbertspar/ownership/ownership.h"
#include "filbertspar/routing/routing.h"

namespace filbertspar::testing {

/// \brief What the store does with the calls of a VM.
enum class StoreFault : std::uint8_t {
  /// Rejects each call at once.
  kBusy,
  /// Answers nothing and performs nothing.
  kSilent,
  /// Performs writes and answers nothing.
  kLost,
  /// Answers nothing and performs writes some seconds later.
  kLate,
  /// Answers late.
  kSlow,
};

/// \brief What becomes of messages from one VM to another.
enum class LinkFault : std::uint8_t {
  /// They are held until the end, or lost if the sender closes the link first.
  kCut,
  kSlow,
};

/// \brief An impairment between two times.
template <typename Kind>
struct Impairment {
  TimePoint m_from{};
  TimePoint m_until{};
  Kind m_kind{};
};

/// \brief Constants of the processes, as in their sources.
namespace outage {
inline constexpr Duration kDelay = Milliseconds(2);
inline constexpr Duration kReadTimeout = Milliseconds(800);
inline constexpr Duration kClaimTimeout = Milliseconds(800);
inline constexpr Duration kRenewPeriod = Milliseconds(400);
inline constexpr Duration kWriteTimeout = Milliseconds(700);
inline constexpr Duration kMaxWriteTimeout = Milliseconds(1600);
inline constexpr Duration kRefusedRetry = Milliseconds(60);
inline constexpr Duration kRetryInterval = Milliseconds(200);
inline constexpr Duration kFeedWait = Seconds(1);
inline constexpr Duration kFeedTimeout = Milliseconds(2200);
inline constexpr Duration kFeedRetry = Milliseconds(100);
inline constexpr Duration kPingPeriod = Milliseconds(250);
inline constexpr Duration kLate = Milliseconds(400);
inline constexpr Duration kSilence = Milliseconds(750);
inline constexpr Duration kReconnect = Milliseconds(100);
inline constexpr Duration kTick = Milliseconds(50);
inline constexpr Duration kLease = Seconds(3);
inline constexpr Duration kMaxConfirmationAge = Seconds(1);
inline constexpr Duration kInheritedLeaseMargin = Milliseconds(500);

struct Peer {
  bool m_connected = false;
  Duration m_store_age{0};
  TimePoint m_stated_at = TimePoint::min();
  TimePoint m_disconnected_at{};
};

struct Term {
  WonClaim m_won;
  std::uint64_t m_number = 0;
  OwnerConfirmation m_confirmation;
  RowVersion m_version;
  std::uint64_t m_write_number = 0;
  TimePoint m_orders_until{};
  TimePoint m_leases_until{};
  std::vector<bool> m_heard;
  bool m_has_restarted = false;
  std::map<std::size_t, Peer> m_peers;
};

struct Link {
  std::size_t m_to = 0;
  /// Term of the VM at the other end.
  std::uint64_t m_term = 0;
  TimePoint m_last_received_at{};
  bool m_closed = false;
  bool m_is_open = false;
  std::optional<PeerClock> m_clock;
  /// When the last message arrives, in each direction.
  TimePoint m_arrives_there{};
  TimePoint m_arrives_back{};
};

struct Vm {
  std::size_t m_index = 0;
  OwnerRecord m_own;
  Candidate m_self;
  OwnerView m_view;
  StoreContact m_contact;
  ClaimAttempt m_last_claim;
  StoreContact m_contact_at_claim;
  FencingNumber m_last_term;
  std::optional<Term> m_term;
  std::shared_ptr<Link> m_link;
  std::uint64_t m_follow = 0;
  bool m_waits_to_read = false;
  std::vector<Impairment<StoreFault>> m_store_faults;
  std::vector<Impairment<StoreFault>> m_claim_faults;
  std::vector<Impairment<bool>> m_freezes;
};

struct Answer {
  enum class Result : std::uint8_t { kDone, kConflict, kRefused, kUnknown };
  Result m_result = Result::kUnknown;
  std::optional<OwnerRecord> m_record;
  RowVersion m_version;
};

/// \brief A worker with one run.
struct Worker {
  /// Delay of each answer and order.
  Duration m_delay{0};
  std::vector<Impairment<bool>> m_silent;
  FencingNumber m_fencing;
  TimePoint m_lease_until{};
  bool m_has_run = true;
};

/// \brief A rule that was broken.
struct Breach {
  std::string m_rule;
  TimePoint m_at{};
  std::string m_detail;
};

struct Write {
  std::optional<RowVersion> m_condition;
  OwnerRecord m_record;
};

template <typename Kind>
const Impairment<Kind>* Find(const std::vector<Impairment<Kind>>& impairments,
                             TimePoint now) {
  for (const auto& impairment : impairments) {
    if (impairment.m_from <= now && now < impairment.m_until) {
      return &impairment;
    }
  }
  return nullptr;
}

}  // namespace outage

}  // namespace filbertspar::testing
