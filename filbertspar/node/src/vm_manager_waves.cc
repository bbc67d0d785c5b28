#include "absl/strings/str_cat.h"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/vm_manager.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

constexpr Duration kStatusTimeout = Seconds(1);

}  // namespace

asio::awaitable<void> VmManager::OrderUpkeep(upkeep::Plan::Order order) {
  const auto self = shared_from_this();
  VmOrderResult result = VmOrderResult::kTryLater;
  if (co_await RecordOrder(order.m_vm)) {
    const adapter::LeaseHolder holder{m_parts.m_options.m_vm.Value(),
                                      m_parts.m_scheduler.m_options.m_fencing};
    result = adapter::DecodeVmOrderResult(co_await m_parts.m_client.Call(
        *m_parts.m_options.m_fleet,
        adapter::MakeUpkeepRequest(order.m_vm, order.m_wave, holder),
        kOrderTimeout));
    m_parts.m_log.Info(
        "vm", "upkeep_ordered",
        absl::StrCat("vm=", order.m_vm.Value(), " wave=", order.m_wave,
                     " result=", static_cast<int>(result)));
  }
  if (!m_running) {
    co_return;
  }
  upkeep::HandleOrderResult(m_upkeep_state, BootNow(), order.m_wave, order.m_vm,
                            result);
  if (result == VmOrderResult::kAccepted) {
    const upkeep::Wave& wave = m_upkeep_state.m_waves[order.m_wave];
    m_parts.m_journal.Put(
        {kWaveTable, job_table::kPartition, absl::StrCat(order.m_wave)},
        upkeep::EncodeDoneVms(wave));
  }
}

asio::awaitable<bool> VmManager::ReadStatusVersion(StoreKey key,
                                                   upkeep::Wave& wave) {
  const StoreResponse rows =
      co_await m_parts.m_store.ReadAll(key.m_table, key.m_partition);
  if (rows.m_result != StoreResult::kDone || !IsConfirmed()) {
    co_return false;
  }
  wave.m_status_version = RowVersion();
  for (const StoreRow& row : rows.m_rows) {
    if (row.m_key == key) {
      wave.m_status_version = row.m_version;
    }
  }
  co_return true;
}

asio::awaitable<void> VmManager::WriteWaveStatus() {
  for (auto& [number, wave] : m_upkeep_state.m_waves) {
    const std::optional<upkeep::WaveStatus> status =
        upkeep::StatusToStore(m_upkeep_state, wave);
    if (!status || !IsConfirmed()) {
      continue;
    }
    const std::string evidence = absl::StrCat(
        upkeep::DescribeEvidence(m_upkeep_state, wave), " list_ms_ago=",
        m_upkeep_state.m_list_requested_at == TimePoint::min()
            ? -1
            : ToMilliseconds(BootNow() - m_upkeep_state.m_list_requested_at));
    const bool complete = *status == upkeep::WaveStatus::kCompleted;
    const StoreKey key{std::string(adapter::kStatusTable), "",
                       absl::StrCat(std::string(adapter::kWavePrefix), number)};
    if (!wave.m_status_version && !co_await ReadStatusVersion(key, wave)) {
      continue;
    }
    const StoreTransaction change =
        upkeep::MakeStatusWrite(wave, key, adapter::EncodeWaveStatus(complete));
    const StoreResponse answer =
        co_await m_parts.m_store.Change(change, kStatusTimeout);
    upkeep::HandleStatusWritten(wave, *status, answer);
    if (answer.m_result == StoreResult::kDone) {
      m_parts.m_log.Info("vm", complete ? "wave_completed" : "wave_running",
                         absl::StrCat("wave=", number, " ", evidence));
    }
  }
}

}  // namespace filbertspar
