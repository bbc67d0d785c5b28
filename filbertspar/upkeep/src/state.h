#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "filbertspar/fleetview/fleetview.h"

namespace filbertspar::upkeep {

enum class Phase : std::uint8_t {
  /// Nothing was done yet.
  kPending,
  /// Gets no new tasks; running ones finish or are moved.
  kDraining,
  /// Its upkeep was ordered; the response is outstanding or was lost.
  kOrdered,
  /// Down for its upkeep.
  kDown,
  /// It is up again after its upkeep.
  kDone,
};

/// \brief Refusals of upkeep orders for one reason, without an accepted order
/// since.
struct Refusals {
  VmOrderResult m_reason = VmOrderResult::kNotInWave;
  TimePoint m_first{};
  TimePoint m_last{};
};

/// \brief Progress of one VM in one wave.
struct VmProgress {
  Phase m_phase = Phase::kPending;
  /// When the phase began, or when its order last went without a response.
  TimePoint m_since{};
  bool m_order_in_flight = false;
  /// Whether an order without an answer may have been carried out.
  bool m_may_be_down = false;
  /// Worker of the VM when its upkeep was ordered, if that answered: the VM is
  /// back once a list shows another one. Empty when it is not known.
  WorkerName m_worker_before;
  /// Whether a list has shown the upkeep that was ordered.
  bool m_was_seen_down = false;
  /// Whether the definition of the wave names the VM.
  bool m_is_member = false;
  std::optional<Refusals> m_refusals;
};

/// \brief Status of a wave, as the operators read it.
enum class WaveStatus : std::uint8_t { kRunning, kCompleted };

struct Wave {
  /// Whether m_spec was read. Before that only some of its VMs are known, from
  /// the stored progress.
  bool m_is_defined = false;
  /// The wave as defined by the operators.
  UpkeepWave m_spec;
  /// When this owner first planned the wave.
  TimePoint m_started_at{};
  std::map<VmName, VmProgress> m_vms;
  /// Status that the operators read; std::nullopt when this owner has stored
  /// none.
  std::optional<WaveStatus> m_stored_status;
  /// Version of the row with the status; std::nullopt when it must be read.
  std::optional<RowVersion> m_status_version;
};

/// \brief An order that a previous owner gave to a VM, for its upkeep or for a
/// move.
struct InheritedOrder {
  /// The VM may be down for it until then, whatever lists show.
  TimePoint m_until{};
  /// Whether a list has shown the VM in upkeep since.
  bool m_was_seen_down = false;
};

/// \brief Load of a VM, as known to the owner.
struct VmLoad {
  /// Whether its worker answers, so that the list shows the present worker.
  bool m_worker_answers = false;
  /// Whether it is certain that nothing runs on it, because its worker was
  /// polled or because all leases that may have been granted have expired.
  bool m_is_empty = false;
  /// Number of long-running tasks.
  std::size_t m_long_running = 0;
  /// Used CPU as a share of its CPU capacity.
  double m_used_share = 0;
};

struct State {
  std::map<std::uint64_t, Wave> m_waves;
  std::map<VmName, VmRecord> m_vms;
  /// When the VM list that m_vms comes from was requested.
  TimePoint m_list_requested_at = TimePoint::min();
  /// The same for the last list in which each entry showed its VM.
  TimePoint m_whole_list_requested_at = TimePoint::min();
  /// VMs of waves that are missing from the VM list, and when the first whole
  /// list without them was requested.
  std::map<VmName, TimePoint> m_missing_since;
  /// Orders that previous owners gave so lately that the VMs may be down.
  std::map<VmName, InheritedOrder> m_inherited_orders;
  /// Time for which a VM is down for its upkeep (`maintenance_s` of the
  /// platform).
  Duration m_upkeep_time = Seconds(2);
};

/// \brief JSON text of the VMs of a wave that are down or done, for the row of
/// the wave.
std::string EncodeDoneVms(const Wave& wave);
/// \brief Returns kBadField unless the text is a valid list of VMs.
absl::StatusOr<std::vector<VmName>> DecodeDoneVms(std::string_view text);

/// \brief Time of the last order for each VM, by any owner, in milliseconds of
/// the store's clock.
using OrderTimes = std::map<VmName, std::int64_t>;

/// \brief Adds the times that previous owners stored; the later one counts.
void MergeOrderTimes(OrderTimes& times, const OrderTimes& stored);

/// \brief Longest time from the record of an order to its execution by the
/// platform: the order is sent at most 0.3 s after the record and given up
/// after 0.8 s.
inline constexpr Duration kMaxOrderDelay = Seconds(2);
/// \brief A VM may be back this much later than stated.
inline constexpr Duration kMaxReturnDelay = Seconds(1);

/// \brief How long after the record of an order its VM may be down, where it is
/// down for `down_time`.
inline Duration MaxDownTime(Duration down_time) {
  return kMaxOrderDelay + down_time + kMaxReturnDelay;
}

/// \brief Notes an order of a previous owner that was recorded `age` ago.
void InheritOrder(State& state, TimePoint now, const VmName& vm, Duration age,
                  Duration max_down_time);

/// \brief Records an order and drops those that are older than `kept_ms`.
void RecordOrderTime(OrderTimes& times, const VmName& vm, std::int64_t now_ms,
                     std::int64_t kept_ms);

/// \brief JSON text of the times.
std::string EncodeOrderTimes(const OrderTimes& orders);
/// \brief Returns kBadField unless the text is a valid map of such times.
absl::StatusOr<OrderTimes> DecodeOrderTimes(std::string_view text);

}  // namespace filbertspar::upkeep
