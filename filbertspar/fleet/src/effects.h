#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "filbertspar/fleet/src/batch.h"
#include "filbertspar/fleet/src/view.h"

namespace filbertspar {

/// \brief `POST /cordon` of a worker. The shell drops a call that it has not
/// sent by `m_not_after`, so that a paused planner does not undo the calls of
/// the one that took over. A WorkerReport that was asked for later
/// shows whether it took effect; the planner repeats the call until then.
struct CordonWorker {
  VmName m_vm = {};
  std::string m_address = {};
  bool m_cordon = true;
  TimePoint m_not_after;
};

/// \brief `POST /checkpoint` of a worker.
struct CheckpointTask {
  VmName m_vm = {};
  std::string m_address = {};
  std::string m_attempt = {};
};

/// \brief `POST /stop` of a worker.
struct StopTask {
  VmName m_vm = {};
  std::string m_address = {};
  std::string m_attempt = {};
};

/// \brief Have the platform reboot a VM.
///
/// The token "NAME:EPOCH" names this reboot. The platform must carry out a
/// token once and refuse one older than the last, since a planner that was
/// paused may send its call after another planner returned the VM to service.
/// The call must not take effect after `m_not_after`; a rebooted VM is not
/// returned to service before such a time has passed.
struct RebootVm {
  VmName m_vm = {};
  std::string m_address = {};
  std::string m_token = {};
  TimePoint m_not_after;
};

/// \brief Ask a worker for its state; answered by a WorkerReport.
struct ProbeWorker {
  VmName m_vm = {};
  std::string m_address = {};
};

/// \brief Progress of a wave; the wave of an empty name is the 4-week cycle.
struct WaveStatus {
  std::string m_wave = {};
  std::int64_t m_total = 0;
  std::int64_t m_done = 0;
  /// Out of service for the wave now.
  std::int64_t m_under_way = 0;
  /// What stops the VMs that wait; empty when nothing does.
  std::vector<Blocker> m_blockers = {};
  /// Expected end, milliseconds of UTC; nothing while a budget without room
  /// stops the wave.
  std::optional<std::int64_t> m_end_ms = {};

  friend bool operator==(const WaveStatus&, const WaveStatus&) = default;
};

/// \brief The status of a wave changed.
struct ReportWave {
  WaveStatus m_status;
};

/// \brief Something that an operator should see.
struct Notice {
  Code m_code = Code::kOk;
  VmName m_vm = {};
  std::string m_text = {};
};

using FleetEffect =
    std::variant<WriteRows, CordonWorker, CheckpointTask, StopTask, RebootVm,
                 ProbeWorker, ReportWave, Notice>;
using FleetEffects = std::vector<FleetEffect>;

}  // namespace filbertspar
