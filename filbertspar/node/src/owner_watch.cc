#include "filbertspar/node/src/owner_watch.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "filbertspar/node/src/clock.h"

namespace filbertspar {
namespace {

constexpr Duration kReadTimeout = Milliseconds(800);
constexpr Duration kClaimTimeout = Milliseconds(800);
/// Interval of the watch loop while this process is the owner and has no row to
/// watch.
constexpr Duration kOwnerIdlePeriod = Seconds(5);

}  // namespace

StoreKey OwnerRowKey() {
  return {job_table::kOwner, job_table::kPartition, job_table::kOwnerKey};
}

StoreKey SoleTermRowKey() {
  return {job_table::kOwner, job_table::kPartition, job_table::kSoleTermKey};
}

OwnerWatch::OwnerWatch(asio::io_context& context, StoreClient& store,
                       EventLog& log, Candidate self, OwnerRecord own_record)
    : m_context(context),
      m_store(store),
      m_log(log),
      m_self(std::move(self)),
      m_own_record(std::move(own_record)),
      m_changed(context),
      m_wake(context) {}

void OwnerWatch::Start(std::function<void(WonClaim)> won) {
  m_on_claim_won = std::move(won);
  asio::co_spawn(m_context, Follow(), asio::detached);
}

void OwnerWatch::HandleOwnershipLost() {
  m_is_owner = false;
  m_view = ViewAfterTerm(m_last_won);
  m_changed.Notify();
  m_wake.Notify();
}

void OwnerWatch::UpdateLinkHealth(LinkHealth health) {
  if (m_view.m_link != health) {
    m_view.m_link = health;
    m_view.m_link_changed_at = BootNow();
    m_wake.Notify();
  }
}

void OwnerWatch::HandlePingAnswered(std::uint64_t incarnation,
                                    TimePoint ping_sent_at) {
  filbertspar::HandlePingAnswered(m_view, incarnation, ping_sent_at);
}

asio::awaitable<void> OwnerWatch::Follow() {
  while (true) {
    if (m_is_owner) {
      co_await m_wake.WaitFor(kOwnerIdlePeriod);
      continue;
    }
    co_await ReadOwnerRow();
    BeginUnansweredTerm();
    if (!m_is_owner && m_willing && ShouldClaim(m_view, m_self, BootNow())) {
      co_await Claim();
    }
    if (!m_is_owner) {
      co_await m_wake.WaitFor(TimeToNextOwnerRead(m_view, m_self, BootNow()));
    }
  }
}

void OwnerWatch::UpdateView(const std::optional<OwnerRecord>& record,
                            RowVersion version, TimePoint sent) {
  if (!UpdateOwnerView(m_view, m_self, record, version, sent, BootNow())) {
    return;
  }
  m_log.Info("owner", "owner_seen",
             absl::StrCat("vm=", record->m_vm.Value(), " epoch=",
                          record->m_epoch.Value(), " version=", version.Value(),
                          " released=", record->m_released));
  m_changed.Notify();
}

asio::awaitable<void> OwnerWatch::ReadOwnerRow() {
  const TimePoint sent = BootNow();
  const StoreResponse answer = co_await m_store.Read(
      job_table::kOwner, job_table::kPartition, "", kReadTimeout);
  if (answer.m_result != StoreResult::kDone) {
    co_return;
  }
  FencingNumber sole_term;
  for (const StoreRow& row : answer.m_rows) {
    if (row.m_key == SoleTermRowKey()) {
      sole_term = DecodeSoleTerm(row.m_value);
    }
  }
  for (const StoreRow& row : answer.m_rows) {
    if (row.m_key != OwnerRowKey()) {
      continue;
    }
    absl::StatusOr<OwnerRecord> record = DecodeOwner(row.m_value);
    if (record.ok()) {
      record->m_is_sole = record->m_epoch == sole_term;
      UpdateView(*record, row.m_version, sent);
    } else {
      m_log.Warn("owner", "owner_row_unreadable",
                 absl::StrCat("reason=\"", record.status().message(), "\""));
    }
    co_return;
  }
  UpdateView(std::nullopt, RowVersion(), sent);
}

asio::awaitable<void> OwnerWatch::Claim() {
  m_last_claim = MakeClaim(m_own_record, m_view, m_self, m_store.Contact(),
                           m_last_claim, BootNow());
  const OwnerRecord& claim = m_last_claim.m_record;
  StoreTransaction change;
  change.m_conditions.push_back({OwnerRowKey(), m_view.m_version});
  change.m_writes.push_back({OwnerRowKey(), EncodeOwner(claim)});
  m_log.Info(
      "owner", "claim",
      absl::StrCat(
          "epoch=", claim.m_epoch.Value(),
          " holder=", m_view.m_record ? m_view.m_record->m_vm.Value() : "-",
          " listed=", claim.m_all_starts_recorded, " owner_lists=",
          m_view.m_record ? m_view.m_record->m_all_starts_recorded : true,
          " reached_ms=",
          ToMilliseconds(BootNow() - m_store.Contact().m_reached_since),
          " link=", static_cast<int>(m_view.m_link), " unchanged_ms=",
          ToMilliseconds(m_view.m_confirmed_at - m_view.m_version_first_seen)));
  const StoreResponse answer = co_await m_store.Change(change, kClaimTimeout);
  if (answer.m_result == StoreResult::kDone) {
    BeginTerm(answer.m_version, /*is_answered=*/true);
    co_return;
  }
  // A claim without a response may still take effect; the row then names this
  // process and its incarnation, and the claim counts as won.
  m_log.Info(
      "owner", "claim_not_won",
      absl::StrCat("result=", std::string(StoreResultName(answer.m_result))));
  co_await ReadOwnerRow();
  BeginUnansweredTerm();
}

void OwnerWatch::BeginUnansweredTerm() {
  if (!m_is_owner && m_willing &&
      IsOwnUnansweredClaim(m_view, m_self, m_last_won.m_record.m_epoch)) {
    BeginTerm(m_view.m_version, /*is_answered=*/false);
  }
}

void OwnerWatch::BeginTerm(RowVersion version, bool is_answered) {
  const TimePoint now = BootNow();
  m_last_won = WinClaim(m_last_claim, m_self, version, is_answered,
                        m_store.Contact(), now);
  m_is_owner = true;
  m_log.Info("owner", "claim_won",
             absl::StrCat(
                 "epoch=", m_last_won.m_record.m_epoch.Value(),
                 " version=", version.Value(), " answered=", is_answered,
                 " sent_ms_ago=", ToMilliseconds(now - m_last_claim.m_sent_at),
                 " previous_orders_ms=",
                 ToMilliseconds(m_last_won.m_previous_orders_until - now),
                 " listed=", m_last_won.m_all_runs_recorded));
  m_changed.Notify();
  m_on_claim_won(m_last_won);
}

}  // namespace filbertspar
