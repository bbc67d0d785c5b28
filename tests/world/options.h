#pragma once

#include <cstdint>
#include <map>

#include "filbertspar/base/base.h"

namespace filbertspar::world {

/// \brief Probability of each fault per occasion, and faults planned ahead.
struct FaultRates {
  double m_not_sent = 0;
  double m_lose_request = 0;
  double m_delay_request = 0;
  double m_refuse = 0;
  double m_fail = 0;
  double m_long_task = 0;
  double m_lose_answer = 0;
  double m_late = 0;
  double m_duplicate = 0;
  double m_cross = 0;
  double m_truncate = 0;
  double m_lose_claim_answer = 0;
  double m_lose_forward = 0;
  bool m_store_outage = false;
  bool m_cancel_waves = false;
  bool m_pauses = false;
  bool m_worker_loss = false;
  bool m_bad_workers = false;
  bool m_config_changes = false;
  bool m_grant_moves = false;
};

/// \brief Faults built into the shell or the workers, which the checker has to
/// find.
enum class Plant : std::uint8_t {
  kNone,
  /// A lost attempt is reported as not sent.
  kLostAsNotSent,
  /// Echoed ids and length are made to match.
  kForgedEcho,
  /// Workers go on after their lease has lapsed.
  kLeasesIgnored,
  /// Every claim succeeds.
  kClaimsIgnored,
};

struct WorldOptions {
  std::uint64_t m_seed = 1;
  Duration m_load_time = Seconds(20);
  Duration m_mean_gap = Milliseconds(80);
  Duration m_min_deadline = Milliseconds(50);
  Duration m_max_deadline = Seconds(15);
  Duration m_min_run = Milliseconds(5);
  Duration m_max_run = Milliseconds(600);
  std::uint64_t m_request_keys = 40;
  /// Replies from here on are counted apart.
  Duration m_settled_after{0};
  FaultRates m_faults{};
  Plant m_plant = Plant::kNone;
};

struct WorldCounts {
  std::map<Code, std::uint64_t> m_replies;
  std::uint64_t m_calls = 0;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_queries = 0;
  std::uint64_t m_forwards = 0;
  std::uint64_t m_late_replies = 0;
  std::uint64_t m_late_failures = 0;
  /// Attempts sent to workers that fail everything, per second.
  std::map<std::int64_t, std::uint64_t> m_on_failing;
  /// Later query results that contradict the workers.
  std::uint64_t m_false_settlements = 0;
  std::uint64_t m_settled = 0;
  std::uint64_t m_wants = 0;
};

}  // namespace filbertspar::world
