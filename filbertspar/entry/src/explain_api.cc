#include "filbertspar/entry/src/explain_api.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

/// Differences of shares that count as none, as in the bound on shares of a
/// full fleet (design page, section 9).
constexpr double kNearShare = 0.02;

double Rounded(double value) { return std::round(value * 1e4) / 1e4; }

std::string Percent(double share) {
  return absl::StrCat(std::round(share * 1000) / 10, "%");
}

std::string_view NameOf(RequestState state) {
  switch (state) {
    case RequestState::kWaiting:
      return "waiting";
    case RequestState::kClaiming:
      return "claiming";
    case RequestState::kRunning:
      return "running";
    case RequestState::kBackoff:
      return "backoff";
    case RequestState::kSettling:
      return "settling";
    case RequestState::kForwarded:
      return "forwarded";
    case RequestState::kFinished:
      return "finished";
  }
  return "unknown";
}

boost::json::string Text(std::string_view text) {
  return boost::json::string(text.data(), text.size());
}

void Say(JsonArray& lines, const std::string& line) {
  lines.push_back(Json(line));
}

/// Causes for which a waiting request has not started.
void SayWhyWaiting(const Engine& engine, TimePoint now,
                   const internal::Request& request, JsonArray& lines) {
  const internal::TeamState& team = engine.m_teams[request.m_team.Value()];
  const internal::PoolState& pool = engine.m_pools[request.m_pool.Value()];
  const PoolSummary summary = Summarize(engine.m_placement, pool.m_placement);
  const std::string& pool_name = pool.m_name.Value();
  if (summary.m_in_service == 0) {
    Say(lines, absl::StrCat("No worker of pool ", pool_name, " is in service (",
                            summary.m_listed, " are listed)."));
  } else if (summary.m_ejected >= summary.m_in_service) {
    Say(lines, absl::StrCat("All workers of pool ", pool_name,
                            " are ejected for failures and being probed."));
  } else if (summary.m_slots_used >= summary.m_slots) {
    Say(lines,
        absl::StrCat("All ", summary.m_slots, " slots of pool ", pool_name,
                     " that this entry sees are taken by its work."));
  }
  if (team.m_running >= team.m_granted) {
    Say(lines, absl::StrCat("Team ", team.m_name.Value(), " holds ",
                            team.m_granted, " units of its ceiling of ",
                            team.m_ceiling, " at this entry, all in use."));
  }
  const std::int64_t waiting =
      CountWaiting(engine.m_queue, request.m_pool, request.m_team);
  if (waiting > 1) {
    Say(lines, absl::StrCat(waiting,
                            " requests of the team wait for the pool; "
                            "urgent ones are served first."));
  }
  const TeamShare share =
      Explain(engine.m_share, now, request.m_pool, request.m_team);
  Say(lines, absl::StrCat("The team receives ", Percent(share.m_received),
                          " of the pool and is owed ", Percent(share.m_due),
                          share.m_received > share.m_due + kNearShare
                              ? "; teams below their due go first."
                              : "."));
}

void SayWhereIs(const Engine& engine, TimePoint now,
                const internal::Request& request, JsonArray& lines) {
  switch (request.m_state) {
    case RequestState::kWaiting:
      SayWhyWaiting(engine, now, request, lines);
      return;
    case RequestState::kClaiming:
      Say(lines,
          "It may run at most once; its claim is being written to the table, "
          "which must succeed before it starts.");
      return;
    case RequestState::kBackoff:
      Say(lines, absl::StrCat("Attempt ", request.m_retries + 1,
                              " did not succeed; the next one follows within "
                              "half a second."));
      return;
    case RequestState::kRunning: {
      const auto attempt = engine.m_attempts.find(request.m_attempt);
      Say(lines, attempt == engine.m_attempts.end()
                     ? std::string("It runs.")
                     : absl::StrCat(
                           "It runs on ", attempt->second.m_worker_name.Value(),
                           " since ",
                           Rounded(ToSeconds(now - attempt->second.m_started)),
                           " s."));
      return;
    }
    case RequestState::kSettling:
      Say(lines,
          "The answer of its attempt was lost; the worker is asked what became "
          "of it, and nothing else is started until then.");
      return;
    case RequestState::kForwarded:
      Say(lines, "It was forwarded to a peer that has a free unit.");
      return;
    case RequestState::kFinished:
      return;
  }
}

/// State of a worker in this entry's own view; empty when it does not know it.
void SayView(const Engine& engine, TimePoint now, const VmName& name,
             JsonArray& lines, JsonObject& out) {
  const Placement& placement = engine.m_placement;
  const auto found = placement.m_worker_by_name.find(name.Value());
  if (found == placement.m_worker_by_name.end()) {
    Say(lines, "This entry has not yet read the VM into its list of workers.");
    return;
  }
  const internal::Worker& worker = placement.m_workers[found->second];
  out["slots_used_here"] = worker.m_used.m_slots.Count();
  out["ejected_here"] = worker.m_ejected;
  if (worker.m_ejected) {
    const double wait = std::max(0.0, ToSeconds(worker.m_probe_at - now));
    Say(lines, absl::StrCat("This entry ejected it for failed attempts; the "
                            "next probe is due in ",
                            Rounded(wait), " s."));
  } else if (worker.m_bad) {
    Say(lines,
        "This entry judges it bad by its failures, but the pool's limit of "
        "ejected workers is reached; it is used as a last resort.");
  } else if (worker.m_paused) {
    Say(lines, "It refused work a moment ago and gets none for up to 0.5 s.");
  }
}

std::string WhyOut(const VmRow& row) {
  const std::string purpose =
      row.m_purpose == Purpose::kMove
          ? absl::StrCat("a move to pool ", row.m_target_pool.Value())
      : row.m_purpose == Purpose::kMaintain
          ? (row.m_wave.empty() ? std::string("maintenance")
                                : absl::StrCat("wave ", row.m_wave))
      : row.m_purpose == Purpose::kHold ? std::string("an operator's hold")
                                        : std::string("no recorded purpose");
  switch (row.m_state) {
    case VmState::kInService:
      return "It is in service.";
    case VmState::kCordoned:
      return absl::StrCat("It was cordoned for ", purpose,
                          "; it gets no new work and running work goes on.");
    case VmState::kDraining:
      return absl::StrCat("It is draining for ", purpose,
                          ": its running work ends first.");
    case VmState::kDrained:
      return absl::StrCat("It is drained for ", purpose, ".");
    case VmState::kRebooting:
      return absl::StrCat("It is rebooting for ", purpose, ".");
    case VmState::kVerifying:
      return "It was rebooted and is being verified before it takes work.";
    case VmState::kFailed:
      return "It failed. It counts in the availability budgets until it is "
             "back or removed.";
  }
  return "";
}

std::string WhyFair(const TeamShare& share, std::int64_t waiting,
                    bool at_grant) {
  const double difference = share.m_received - share.m_due;
  if (std::abs(difference) <= kNearShare) {
    return waiting == 0 ? "has all it asks for"
                        : "has what its weight is owed; the rest waits";
  }
  if (difference > 0) {
    return "borrows share that others left idle; it comes back as tasks end";
  }
  if (at_grant) {
    return "is held back by the units of its ceiling at this entry";
  }
  return "is below its due and is served next";
}

JsonObject ShareLine(const TeamShare& share, const std::string& pool,
                     const std::string& team) {
  return {{"pool", pool},
          {"team", team},
          {"weight", share.m_weight},
          {"due", Rounded(share.m_due)},
          {"received", Rounded(share.m_received)},
          {"demand", Rounded(share.m_demand)},
          {"lag_seconds", Rounded(share.m_lag_seconds)}};
}

}  // namespace

HttpResponse ExplainJob(const Engine& engine, TimePoint now,
                        RequestId request) {
  JsonArray lines;
  const auto live = engine.m_requests.find(request);
  if (live == engine.m_requests.end()) {
    const std::optional<RequestStatus> status = Query(engine, request);
    if (!status) {
      return CodeResponse(Code::kRequestUnknown,
                          "this entry process has no such request");
    }
    const CodeInfo& info = Describe(status->m_code);
    Say(lines, absl::StrCat("It was answered: ", std::string(info.m_text)));
    return JsonResponse(
        200, JsonObject{{"request", std::to_string(request.Value())},
                        {"state", "finished"},
                        {"code", static_cast<int>(status->m_code)},
                        {"outcome", Text(OutcomeName(info.m_outcome))},
                        {"explanation", std::move(lines)}});
  }
  const internal::Request& found = *live->second;
  SayWhereIs(engine, now, found, lines);
  const internal::TeamState& team = engine.m_teams[found.m_team.Value()];
  return JsonResponse(
      200,
      JsonObject{{"request", std::to_string(request.Value())},
                 {"state", Text(NameOf(found.m_state))},
                 {"entry", found.m_submission.m_entry.Value()},
                 {"team", team.m_name.Value()},
                 {"class", Text(ToString(found.m_class))},
                 {"pool", engine.m_pools[found.m_pool.Value()].m_name.Value()},
                 {"deadline_in_ms", ToMilliseconds(found.m_deadline - now)},
                 {"retries", found.m_retries},
                 {"refusals", found.m_refusals},
                 {"explanation", std::move(lines)}});
}

HttpResponse ExplainVm(const Engine& engine, TimePoint now, const VmRow* row,
                       std::int64_t now_ms) {
  if (row == nullptr) {
    return CodeResponse(Code::kVmUnknown, "");
  }
  JsonArray lines;
  Say(lines, WhyOut(*row));
  JsonObject out = {
      {"vm", row->m_name.Value()},
      {"pool", row->m_pool.Value()},
      {"state", Text(ToString(row->m_state))},
      {"state_for_seconds",
       std::max<std::int64_t>(0, now_ms - row->m_since_ms) / 1000}};
  SayView(engine, now, row->m_name, lines, out);
  out["explanation"] = std::move(lines);
  return JsonResponse(200, std::move(out));
}

HttpResponse ExplainShares(const Engine& engine, TimePoint now) {
  if (engine.m_catalogue == nullptr) {
    return CodeResponse(Code::kNoConfig, "");
  }
  const std::vector<TeamPoolUse> uses = UseOf(engine);
  JsonArray shares;
  JsonArray fleet;
  for (const Team& team : engine.m_catalogue->m_teams) {
    const std::optional<TeamIndex> index =
        FindTeamIndex(engine.m_share, team.m_name);
    if (!index) {
      continue;
    }
    const internal::TeamState& state = engine.m_teams[index->Value()];
    bool any = false;
    for (const Pool& pool : engine.m_catalogue->m_pools) {
      const std::optional<PoolIndex> place =
          FindPoolIndex(engine.m_share, pool.m_name);
      if (!place) {
        continue;
      }
      const TeamShare share = Explain(engine.m_share, now, *place, *index);
      if (share.m_demand <= 0 && share.m_received <= 0) {
        continue;
      }
      any = true;
      const auto use =
          std::find_if(uses.begin(), uses.end(), [&](const TeamPoolUse& each) {
            return each.m_team == team.m_name && each.m_pool == pool.m_name;
          });
      const std::int64_t waiting = use == uses.end() ? 0 : use->m_waiting;
      JsonObject line =
          ShareLine(share, pool.m_name.Value(), team.m_name.Value());
      line["running_here"] = use == uses.end() ? 0 : use->m_running;
      line["waiting_here"] = waiting;
      line["reason"] =
          WhyFair(share, waiting, state.m_running >= state.m_granted);
      shares.push_back(std::move(line));
    }
    if (any) {
      fleet.push_back(ShareLine(ExplainFleet(engine.m_share, now, *index),
                                "(fleet)", team.m_name.Value()));
    }
  }
  JsonArray lines;
  Say(lines, shares.empty()
                 ? "No team has running or waiting work that this entry sees."
                 : "Shares are parts of a pool's scarcest resource. Due is the "
                   "weighted max-min fair share of what the teams ask for.");
  return JsonResponse(200, JsonObject{{"explanation", std::move(lines)},
                                      {"shares", std::move(shares)},
                                      {"fleet", std::move(fleet)}});
}

}  // namespace filbertspar
