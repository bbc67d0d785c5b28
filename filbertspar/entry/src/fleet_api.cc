#include "filbertspar/entry/src/fleet_api.h"

#include <chrono>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

constexpr Duration kWriteDeadline = Seconds(3);
/// Attempts of a change that meets conflicts with the planner's own writes.
constexpr int kTries = 6;
/// Lists may be this old: an operator who polls must not spend the process's
/// budget of table reads, which the configuration and the grants share.
constexpr Duration kMaxListAge = Seconds(2);
/// Age of the view above which a change reads the tables first.
constexpr Duration kMaxViewAge = Seconds(10);

// Plans are named variables below: g++ 12 destroys a temporary function object
// twice when it is an argument of a co_await expression.
TimePoint UtcNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

JsonArray BlockersToJson(const std::vector<Blocker>& blockers) {
  JsonArray array;
  for (const Blocker& blocker : blockers) {
    array.push_back(JsonObject{{"code", static_cast<int>(blocker.m_code)},
                               {"budget", blocker.m_budget},
                               {"text", blocker.m_text}});
  }
  return array;
}

std::optional<Purpose> PurposeFrom(const std::string& text) {
  for (const Purpose purpose :
       {Purpose::kMaintain, Purpose::kMove, Purpose::kHold}) {
    if (ToString(purpose) == text) {
      return purpose;
    }
  }
  return std::nullopt;
}

bool IsDryRun(const HttpRequest& request) {
  return !QueryOf(request, "dry_run").empty();
}

}  // namespace

bool FleetApi::Serves(const std::string& kind) {
  return kind == "vms" || kind == "drains" || kind == "waves" ||
         kind == "budgets";
}

asio::awaitable<HttpResponse> FleetApi::Handle(
    const HttpRequest& request, std::vector<std::string> segments,
    std::string author) {
  const std::string& kind = segments[0];
  const bool is_get = request.method() == HttpVerb::get;
  if (is_get && segments.size() == 1 && kind == "vms") {
    co_return co_await ListVms();
  }
  if (is_get && segments.size() == 1 && kind == "budgets") {
    co_return co_await ListBudgets();
  }
  if (is_get && segments.size() == 1 && kind == "waves") {
    co_return co_await ListWaves();
  }
  if (!is_get && segments.size() == 2 && kind == "drains") {
    co_return co_await Drain(request, segments[1]);
  }
  if (!is_get && segments.size() == 2 && kind == "waves") {
    co_return co_await PutWave(request, segments[1], std::move(author));
  }
  if (segments.size() == 2 && kind == "vms" &&
      request.method() == HttpVerb::put) {
    co_return co_await Register(request, segments[1]);
  }
  if (segments.size() == 2 && kind == "vms" &&
      request.method() == HttpVerb::delete_) {
    const VmName name(segments[1]);
    const Plan plan = [name](const FleetView& view, const Catalogue&) {
      return PlanRemove(view, name);
    };
    co_return co_await Change(plan);
  }
  co_return CodeResponse(Code::kUnknownPath, "");
}

asio::awaitable<absl::Status> FleetApi::RefreshForList() {
  if (SteadyNow() - m_read_at < kMaxListAge) {
    co_return absl::OkStatus();
  }
  co_return co_await Refresh();
}

asio::awaitable<absl::Status> FleetApi::Refresh() {
  const absl::StatusOr<RowsRead> rows = co_await m_tables.ReadChanges(true);
  if (rows.ok()) {
    ApplyRows(m_view, *rows);
    m_read_at = SteadyNow();
  }
  co_return rows.status();
}

asio::awaitable<HttpResponse> FleetApi::Change(Plan plan) {
  const std::shared_ptr<const Catalogue> catalogue = m_config.Current();
  if (catalogue == nullptr) {
    co_return CodeResponse(Code::kNoConfig, "");
  }
  // The write names the version of each row that the plan used, so a view that
  // is a little old costs a conflict at worst. It is read anew before a
  // refusal.
  bool is_fresh = SteadyNow() - m_read_at > kMaxViewAge;
  if (is_fresh) {
    const absl::Status read = co_await Refresh();
    if (!read.ok()) {
      co_return StatusResponse(read);
    }
  }
  for (int attempt = 0; attempt < kTries; ++attempt) {
    const ChangePlan change = plan(m_view, *catalogue);
    if (!change.Allowed() && is_fresh) {
      co_return StatusResponse(ToStatus(change));
    }
    if (!change.Allowed()) {
      const absl::Status read = co_await Refresh();
      if (!read.ok()) {
        co_return StatusResponse(read);
      }
      is_fresh = true;
      continue;
    }
    std::vector<RowWrite> rows = ToRowWrites(change.m_write);
    if (rows.empty()) {
      co_return JsonResponse(200, JsonObject{{"changed", false}});
    }
    const WriteReport report =
        co_await m_store.Write(std::move(rows), kWriteDeadline);
    if (report.m_outcome == WriteOutcome::kCommitted) {
      ApplyCommitted(m_view, change.m_write, report.m_versions);
      co_return JsonResponse(200, JsonObject{{"changed", true}});
    }
    if (report.m_outcome == WriteOutcome::kNotWritten) {
      co_return CodeResponse(report.m_code, "");
    }
    if (report.m_outcome == WriteOutcome::kUnsettled) {
      co_return CodeResponse(Code::kChangeUnconfirmed, "");
    }
    const absl::Status read = co_await Refresh();
    if (!read.ok()) {
      co_return StatusResponse(read);
    }
    is_fresh = true;
  }
  co_return CodeResponse(Code::kPlatformConflict, "");
}

asio::awaitable<HttpResponse> FleetApi::Register(const HttpRequest& request,
                                                 std::string name) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  if (!body.ok()) {
    co_return StatusResponse(body.status());
  }
  (*body)["name"] = name;
  VmRow vm;
  if (absl::Status status = FromJson(*body, vm); !status.ok()) {
    co_return StatusResponse(status);
  }
  if (!ParseEndpoint(vm.m_address)) {
    co_return CodeResponse(Code::kBadField, "address: expected IP:PORT");
  }
  const Plan plan = [vm](const FleetView& view, const Catalogue& catalogue) {
    return PlanRegister(view, catalogue, UtcNow(), vm);
  };
  co_return co_await Change(plan);
}

asio::awaitable<HttpResponse> FleetApi::Drain(const HttpRequest& request,
                                              std::string name) {
  const VmName vm(name);
  if (request.method() == HttpVerb::delete_) {
    const Plan plan = [vm](const FleetView& view, const Catalogue&) {
      return PlanRollBack(view, UtcNow(), vm);
    };
    co_return co_await Change(plan);
  }
  absl::StatusOr<JsonObject> body = ParseJsonObject(
      request.body().empty() ? std::string("{}") : request.body());
  if (!body.ok()) {
    co_return StatusResponse(body.status());
  }
  DrainRequest drain;
  drain.m_vm = vm;
  std::string purpose(ToString(drain.m_purpose));
  FieldReader reader(*body, "drain");
  reader.ReadOptional("purpose", purpose);
  reader.ReadOptional("target_pool", drain.m_target_pool);
  if (!PurposeFrom(purpose)) {
    reader.Fail("purpose", "maintain, move or hold");
  }
  if (absl::Status status = reader.Finish(); !status.ok()) {
    co_return StatusResponse(status);
  }
  drain.m_purpose = *PurposeFrom(purpose);
  if (!IsDryRun(request)) {
    const Plan plan = [drain](const FleetView& view,
                              const Catalogue& catalogue) {
      return PlanDrain(view, catalogue, UtcNow(), drain);
    };
    co_return co_await Change(plan);
  }
  const std::shared_ptr<const Catalogue> catalogue = m_config.Current();
  const absl::Status read = co_await Refresh();
  if (catalogue == nullptr || !read.ok()) {
    co_return catalogue == nullptr ? CodeResponse(Code::kNoConfig, "")
                                   : StatusResponse(read);
  }
  const Explanation explanation =
      ExplainDrain(m_view, *catalogue, UtcNow(), drain);
  JsonArray budgets;
  for (const BudgetChange& change : explanation.m_while_out) {
    budgets.push_back(JsonObject{{"budget", change.m_budget},
                                 {"before", DescribeBudget(change.m_before)},
                                 {"after", DescribeBudget(change.m_after)}});
  }
  co_return JsonResponse(
      200, JsonObject{{"dry_run", true},
                      {"allowed", explanation.Allowed()},
                      {"blockers", BlockersToJson(explanation.m_blockers)},
                      {"budgets", std::move(budgets)}});
}

asio::awaitable<HttpResponse> FleetApi::PutWave(const HttpRequest& request,
                                                std::string name,
                                                std::string author) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(
      request.body().empty() ? std::string("{}") : request.body());
  if (!body.ok()) {
    co_return StatusResponse(body.status());
  }
  WaveRow wave;
  wave.m_name = name;
  wave.m_operator = OperatorName(author);
  wave.m_started_ms = UtcMilliseconds(UtcNow());
  std::string state = "running";
  FieldReader reader(*body, "wave");
  reader.ReadOptional("pool", wave.m_pool);
  reader.ReadOptional("state", state);
  std::optional<WaveState> wanted;
  for (const WaveState each :
       {WaveState::kRunning, WaveState::kPaused, WaveState::kStopped}) {
    if (ToString(each) == state) {
      wanted = each;
    }
  }
  if (!wanted) {
    reader.Fail("state", "running, paused or stopped");
  }
  if (absl::Status status = reader.Finish(); !status.ok()) {
    co_return StatusResponse(status);
  }
  wave.m_state =
      request.method() == HttpVerb::delete_ ? WaveState::kStopped : *wanted;
  const Plan plan = [wave](const FleetView& view, const Catalogue& catalogue) {
    ChangePlan plan;
    if (!wave.m_pool.Empty() && FindPool(catalogue, wave.m_pool) == nullptr) {
      plan.m_blockers.push_back(
          {Code::kNotFound, "",
           absl::StrCat("there is no pool \"", wave.m_pool.Value(), "\"")});
      return plan;
    }
    FleetRowWrite<WaveRow> write;
    write.m_row = wave;
    const auto found = view.m_waves.find(wave.m_name);
    if (found != view.m_waves.end()) {
      // A wave that is paused or goes on keeps its start, and so what is done.
      write.m_expect = found->second.m_version;
      write.m_row = found->second.m_row;
      write.m_row.m_state = wave.m_state;
    }
    plan.m_write.m_waves.push_back(write);
    return plan;
  };
  co_return co_await Change(plan);
}

asio::awaitable<HttpResponse> FleetApi::ListVms() {
  const absl::Status read = co_await RefreshForList();
  if (!read.ok()) {
    co_return StatusResponse(read);
  }
  JsonArray vms;
  for (const auto& [name, vm] : m_view.m_vms) {
    vms.push_back(ToJson(vm.m_row));
  }
  co_return JsonResponse(200, JsonObject{{"vms", std::move(vms)}});
}

asio::awaitable<HttpResponse> FleetApi::ListBudgets() {
  const absl::Status read = co_await RefreshForList();
  if (!read.ok()) {
    co_return StatusResponse(read);
  }
  JsonArray budgets;
  for (const auto& [key, budget] : m_view.m_budgets) {
    JsonObject row = ToJson(budget.m_row);
    row["text"] = DescribeBudget(budget.m_row);
    budgets.push_back(std::move(row));
  }
  co_return JsonResponse(200, JsonObject{{"budgets", std::move(budgets)}});
}

asio::awaitable<HttpResponse> FleetApi::ListWaves() {
  const std::shared_ptr<const Catalogue> catalogue = m_config.Current();
  const absl::Status read = co_await RefreshForList();
  if (catalogue == nullptr || !read.ok()) {
    co_return catalogue == nullptr ? CodeResponse(Code::kNoConfig, "")
                                   : StatusResponse(read);
  }
  JsonArray waves;
  for (const auto& [name, wave] : m_view.m_waves) {
    const PlannedWave planned = ExplainWave(
        m_view, *catalogue, UtcNow(), wave.m_row, DrainRequest().m_expected);
    JsonObject json = ToJson(wave.m_row);
    json["waiting"] = planned.m_drains.size();
    json["blockers"] = BlockersToJson(planned.m_blockers);
    if (planned.m_end_ms) {
      json["end_ms"] = *planned.m_end_ms;
    }
    waves.push_back(std::move(json));
  }
  co_return JsonResponse(200, JsonObject{{"waves", std::move(waves)}});
}

}  // namespace filbertspar
