#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "filbertspar/platform/src/breaker.h"
#include "filbertspar/platform/src/codec.h"
#include "filbertspar/platform/src/rows.h"

namespace filbertspar {

using OperationId = Id<struct OperationTag>;
/// \brief One HTTP exchange; an operation has one or more.
using TransmissionId = Id<struct TransmissionTag>;

/// \brief Bounds of one node's use of the platform.
struct PlatformLimits {
  double m_writes_per_second = 2.5;
  double m_write_burst = 20;
  /// Three polls a second and room for single rows; 350 nodes stay below the
  /// platform's 2,000 reads a second.
  double m_reads_per_second = 5;
  double m_read_burst = 30;
  /// An operation beyond this number is refused with kRateBudgetSpent.
  std::size_t m_max_operations = 512;
  Duration m_transmission_timeout = Milliseconds(500);
  Duration m_first_backoff = Milliseconds(20);
  Duration m_last_backoff = Milliseconds(500);
  /// Pause between steps that settle a write after its deadline.
  Duration m_settle_backoff = Milliseconds(500);
  /// Retries allowed per success, and the largest number saved up.
  double m_retry_ratio = 0.1;
  double m_max_retries_saved = 10;
  /// Hedges allowed per answered call. A hedge pays only while it is rare:
  /// against a connection gone silent, not against a slow platform.
  double m_hedge_ratio = 0.05;
  Duration m_min_hedge_delay = Milliseconds(20);
};

/// \brief What is known of a write.
enum class WriteOutcome : std::uint8_t {
  kCommitted,
  /// Not written, since a row had another version; can never take effect.
  kConflict,
  /// Certainly not written: no byte of it was sent.
  kNotWritten,
  /// May have taken effect. The client goes on settling it.
  kUnsettled,
};

/// \brief Tell the caller what became of a write. Exactly one report of a write
/// is final; a report of kUnsettled is sent at the deadline, and the final one
/// (kCommitted or kConflict) follows once the platform has answered.
struct WriteReport {
  OperationId m_operation;
  WriteOutcome m_outcome = WriteOutcome::kUnsettled;
  Code m_code = Code::kOk;
  /// Versions of the rows in the order of the write, when committed.
  std::vector<RowVersion> m_versions{};
  std::vector<RowConflict> m_conflicts{};

  bool IsFinal() const { return m_outcome != WriteOutcome::kUnsettled; }
};

/// \brief Tell the caller the answer of a call, or the error code.
struct CallReport {
  OperationId m_operation;
  Code m_code = Code::kOk;
  PlatformAnswer m_answer;
};

/// \brief Send an HTTP request; its end is reported with TransmissionEnded.
struct Transmit {
  TransmissionId m_transmission;
  PlatformRequest m_request;
  /// The shell gives up and closes the connection after this time.
  Duration m_timeout{};
  /// Use a new connection: one before it is silent or was lost.
  bool m_fresh_connection = false;
};

using PlatformEffect = std::variant<Transmit, WriteReport, CallReport>;
using PlatformEffects = std::vector<PlatformEffect>;

/// \brief How an HTTP exchange ended, as the shell saw it.
struct TransmissionReport {
  enum class End : std::uint8_t {
    kAnswered,
    /// No byte of the request left this process.
    kNotSent,
    /// Timed out, connection lost, or the answer was cut short.
    kLost,
  };
  TransmissionId m_transmission;
  End m_end = End::kLost;
  int m_status = 0;
  std::string m_body;
};

namespace internal {

enum class Purpose : std::uint8_t { kWrite, kCall, kReadBack, kProbe };

struct Operation {
  bool m_is_write = false;
  WriteBody m_write;
  PlatformCall m_call;
  TimePoint m_deadline{};
  /// When the next step is due; only with no transmission open.
  TimePoint m_next_step{};
  int m_steps = 0;
  int m_open = 0;
  /// True from the first transmission of a write whose answer may be lost.
  bool m_maybe_applied = false;
  bool m_reported_unsettled = false;
  /// Settling reads back first and repeats the write after that.
  bool m_was_read_back = false;
  bool m_lost_one = false;
  bool m_hedged = false;
  TimePoint m_hedge_at{};
};

struct Transmission {
  OperationId m_operation;
  Purpose m_purpose = Purpose::kCall;
  TimePoint m_sent{};
  TimePoint m_timeout{};
};

}  // namespace internal

/// \brief State of one node's platform client.
struct PlatformClient {
  std::string m_node;
  PlatformLimits m_limits;
  Rng m_rng{0};
  TokenBucket m_writes;
  TokenBucket m_reads;
  CircuitBreaker m_breaker;
  double m_retries_saved = 0;
  double m_hedges_saved = 0;
  /// Smoothed time to an answer and its mean deviation, in microseconds.
  double m_latency_mean = 0;
  double m_latency_deviation = 0;
  std::uint64_t m_last_operation = 0;
  std::uint64_t m_last_transmission = 0;
  std::map<OperationId, internal::Operation> m_operations;
  std::map<TransmissionId, internal::Transmission> m_transmissions;
};

/// \brief A client of the process `node`, whose name must be unique among all
/// processes ever: attempt ids are the node's name and a count.
PlatformClient MakePlatformClient(const NodeName& node, std::uint64_t seed,
                                  TimePoint now, PlatformLimits limits = {});

/// \brief Starts a write. With the breaker open or no room it is reported as
/// kNotWritten at once. `deadline` is when the caller wants an answer, be it
/// kUnsettled.
OperationId SubmitWrite(PlatformClient& client, TimePoint now,
                        std::vector<RowWrite> rows, Duration deadline,
                        PlatformEffects& effects);

/// \brief Starts a call that may be repeated; exactly one CallReport follows,
/// by the deadline.
OperationId SubmitCall(PlatformClient& client, TimePoint now, PlatformCall call,
                       Duration deadline, PlatformEffects& effects);

/// \brief Takes in the end of an exchange; one that is not known is ignored.
void TransmissionEnded(PlatformClient& client, TimePoint now,
                       const TransmissionReport& report,
                       PlatformEffects& effects);

/// \brief Sends what is due, times out exchanges, probes, hedges.
void Tick(PlatformClient& client, TimePoint now, PlatformEffects& effects);

/// \brief When Tick is due next; TimePoint::max() when nothing waits.
TimePoint NextTick(const PlatformClient& client, TimePoint now);

/// \brief False while the circuit breaker is open.
inline bool IsReachable(const PlatformClient& client) {
  return !client.m_breaker.m_open;
}

}  // namespace filbertspar
