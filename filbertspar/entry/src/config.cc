#include "filbertspar/entry/src/config.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/asio/as_tuple.hpp"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "filbertspar/program/program.h"

namespace filbertspar {
namespace {

constexpr Duration kReadDeadline = Seconds(1);
constexpr Duration kCommitDeadline = Seconds(3);

RowKey HeadKey() { return {"config", "head"}; }

RowKey VersionKey(ConfigVersion version) {
  return {"config", absl::StrCat("version/", version.Value())};
}

}  // namespace

Config::Config(asio::io_context& context, Store& store, Duration poll_period)
    : m_context(context), m_store(store), m_poll_period(poll_period) {}

void Config::Start() { asio::co_spawn(m_context, Poll(), asio::detached); }

ConfigVersion Config::Version() const {
  return m_current == nullptr ? ConfigVersion() : m_current->m_version;
}

bool Config::IsFresh(const WorkspaceName& workspace) const {
  if (m_current == nullptr || m_confirmed == TimePoint::min()) {
    return false;
  }
  const Workspace* found = FindWorkspace(*m_current, workspace);
  return found != nullptr &&
         SteadyNow() - m_confirmed <= found->m_freshness_bound;
}

asio::awaitable<void> Config::Poll() {
  asio::steady_timer timer(m_context);
  while (true) {
    co_await PollOnce();
    timer.expires_after(m_poll_period);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<void> Config::PollOnce() {
  const TimePoint asked = SteadyNow();
  absl::StatusOr<Row> head = co_await m_store.Read(HeadKey(), kReadDeadline);
  if (!head.ok()) {
    co_return;
  }
  // The head row is written once per version, so both numbers are equal.
  const ConfigVersion newest(head->m_version.Value());
  if (newest > Version()) {
    absl::StatusOr<Catalogue> catalogue = co_await ReadVersion(newest);
    if (!catalogue.ok()) {
      co_return;
    }
    Apply(std::move(*catalogue));
  }
  m_confirmed = asked;
}

asio::awaitable<absl::StatusOr<Catalogue>> Config::ReadVersion(
    ConfigVersion version) {
  absl::StatusOr<Row> row =
      co_await m_store.Read(VersionKey(version), kReadDeadline);
  if (!row.ok()) {
    co_return row.status();
  }
  if (!row->m_value || !row->m_value->is_object()) {
    co_return Error(Code::kNotFound, "no such configuration version");
  }
  Catalogue catalogue;
  absl::Status status = FromJson(row->m_value->as_object(), catalogue);
  if (!status.ok()) {
    co_return status;
  }
  co_return catalogue;
}

void Config::Apply(Catalogue catalogue) {
  if (catalogue.m_version <= Version()) {
    return;
  }
  m_current = std::make_shared<const Catalogue>(std::move(catalogue));
  m_access = BuildAccess(*m_current);
  LoggerFor("config")->info("version {} is in force", Version().Value());
  if (m_handler) {
    m_handler(m_current);
  }
}

asio::awaitable<absl::StatusOr<ConfigVersion>> Config::Commit(
    std::optional<ConfigVersion> base, Change change) {
  const ConfigVersion current = Version();
  if (base && *base != current) {
    co_return Error(Code::kConfigConflict,
                    absl::StrCat("version ", current.Value(),
                                 " is in force, not ", base->Value()));
  }
  Catalogue next = m_current == nullptr ? Catalogue() : *m_current;
  absl::Status status = change(next);
  if (!status.ok()) {
    co_return status;
  }
  next.m_version = ConfigVersion(current.Value() + 1);
  status = Validate(next);
  if (!status.ok()) {
    co_return status;
  }
  std::vector<RowWrite> rows;
  rows.push_back({HeadKey(), RowVersion(current.Value()),
                  JsonObject{{"version", next.m_version.Value()}}});
  rows.push_back({VersionKey(next.m_version), RowVersion(0), ToJson(next)});
  const WriteReport report =
      co_await m_store.Write(std::move(rows), kCommitDeadline);
  switch (report.m_outcome) {
    case WriteOutcome::kCommitted:
      break;
    case WriteOutcome::kConflict:
      co_await PollOnce();
      co_return Error(
          Code::kConfigConflict,
          absl::StrCat("version ", Version().Value(), " was accepted before"));
    case WriteOutcome::kNotWritten:
      co_return Error(Code::kPlatformDown, "the change was not written");
    case WriteOutcome::kUnsettled:
      co_return Error(Code::kChangeUnconfirmed, "");
  }
  const ConfigVersion version = next.m_version;
  Apply(std::move(next));
  co_return version;
}

}  // namespace filbertspar
