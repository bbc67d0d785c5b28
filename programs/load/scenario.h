#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "filbertspar/base/base.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar::load {

/// \brief One stream of requests of a catalogue entry with one key.
struct Stream {
  std::string m_name;
  std::string m_entry;
  std::string m_team;
  std::string m_key;
  /// Mean requests a second.
  double m_rate = 10;
  Duration m_work{0};
  Duration m_deadline = Seconds(5);
  /// Span in which the rate is multiplied by the surge factor.
  Duration m_surge_at{0};
  Duration m_surge_for{0};
  double m_surge_factor = 5;
  /// Span in which the rate is multiplied by the trough factor.
  Duration m_trough_at{0};
  Duration m_trough_for{0};
  double m_trough_factor = 0.05;
  /// Moment at which a share of the open requests is cancelled; 0 for never.
  Duration m_cancel_at{0};
  double m_cancel_share = 0;
  /// Each request carries a request key of its own.
  bool m_request_keys = false;
  /// Share of requests that are sent twice with the same request key.
  double m_repeat_share = 0;
};

/// \brief What the load tool offers.
struct Scenario {
  std::vector<Endpoint> m_targets;
  Duration m_duration = Seconds(10);
  /// How long to wait for answers after the last request was sent.
  Duration m_drain = Seconds(30);
  std::uint64_t m_seed = 1;
  std::string m_history;
  /// Above 0: that many callers, each sending its next request after an
  /// answer; rates are ignored.
  std::int64_t m_closed_callers = 0;
  /// True: targets are worker agents and requests are sent as tasks.
  bool m_direct = false;
  std::vector<Stream> m_streams;
};

/// \brief Reads [load] and one section per stream.
absl::StatusOr<Scenario> ReadScenario(Settings& settings);

/// \brief Rate of a stream at a moment of the run, in requests a second.
double RateAt(const Stream& stream, Duration since_start);

}  // namespace filbertspar::load
