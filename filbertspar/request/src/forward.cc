#include <algorithm>
#include <tuple>
#include <utility>

#include "filbertspar/request/src/internal.h"

namespace filbertspar {
namespace internal {
namespace {

PeerGrant* FreePeer(TeamState& team) {
  const auto best =
      std::max_element(team.m_peers.begin(), team.m_peers.end(),
                       [](const PeerGrant& a, const PeerGrant& b) {
                         return a.m_free < b.m_free;
                       });
  return best == team.m_peers.end() || best->m_free <= 0 ? nullptr : &*best;
}

}  // namespace

bool TryForward(Engine& engine, TimePoint now, Request& request,
                Effects& effects) {
  TeamState& team = engine.m_teams[request.m_team];
  if (request.m_submission.m_forwarded || request.m_was_forwarded ||
      request.m_claimed || request.m_may_have_run || request.m_ran ||
      FreeUnits(team) > team.m_waiting) {
    return false;
  }
  PeerGrant* peer = FreePeer(team);
  if (peer == nullptr) {
    return false;
  }
  --peer->m_free;
  request.m_was_forwarded = true;
  request.m_state = RequestState::kForwarded;
  ++engine.m_counters.m_forwarded;
  Submission submission = request.m_submission;
  submission.m_deadline = request.m_deadline - now;
  submission.m_forwarded = true;
  submission.m_forwarded_id = request.m_id;
  effects.emplace_back(ForwardRequest{.m_request = request.m_id,
                                      .m_peer = peer->m_peer,
                                      .m_submission = std::move(submission)});
  return true;
}

void ForwardWaiting(Engine& engine, TimePoint now, Effects& effects) {
  for (TeamIndex i = 0; i < engine.m_teams.size(); ++i) {
    TeamState& team = engine.m_teams[i];
    for (PoolIndex pool = 0; pool < team.m_waiting_by_pool.size(); ++pool) {
      while (FreeUnits(team) <= 0 && FreePeer(team) != nullptr) {
        Request* request = FirstWaiting(engine, pool, i);
        if (request == nullptr || request->m_deadline <= now) {
          break;
        }
        RemoveWaiting(engine, *request);
        if (!TryForward(engine, now, *request, effects)) {
          PushWaiting(engine, *request, /*front=*/true);
          break;
        }
      }
    }
  }
}

void UpdateWant(Engine& engine, TimePoint now, TeamIndex index,
                Effects& effects) {
  TeamState& team = engine.m_teams[index];
  const std::int64_t wanted = team.m_running + team.m_waiting;
  if (wanted == team.m_wanted ||
      now < team.m_wanted_at + engine.m_options.m_want_pause) {
    return;
  }
  team.m_wanted = wanted;
  team.m_wanted_at = now;
  effects.emplace_back(WantGrant{.m_team = team.m_name, .m_units = wanted});
}

}  // namespace internal

void ForwardSettled(Engine& engine, TimePoint now, const ForwardReport& report,
                    Effects& effects) {
  internal::Request* request = internal::FindRequest(engine, report.m_request);
  const Outcome outcome = report.m_result == ForwardResult::kAnswered
                              ? Describe(report.m_code).m_outcome
                              : Outcome::kNone;
  if (request == nullptr) {
    if (outcome == Outcome::kRan) {
      internal::SettleFinished(engine, report.m_request, report.m_code,
                               report.m_body, effects);
    }
    return;
  }
  if (request->m_state != RequestState::kForwarded) {
    return;
  }
  request->m_state = RequestState::kBackoff;
  if (outcome == Outcome::kRan || outcome == Outcome::kUnknown) {
    internal::Finish(engine, now, *request, report.m_code, report.m_body,
                     effects);
  } else {
    if (report.m_result == ForwardResult::kLost) {
      request->m_may_have_run = true;
    }
    if (request->m_cancelled) {
      internal::FinishUnsettled(engine, now, *request, Code::kCancelled,
                                effects);
    } else {
      internal::Enqueue(engine, *request, effects);
    }
  }
  internal::Dispatch(engine, now, effects);
}

void SetPeerUse(Engine& engine, TimePoint now, std::vector<PeerUse> use) {
  (void)now;
  for (internal::TeamState& team : engine.m_teams) {
    team.m_peers.clear();
  }
  std::sort(use.begin(), use.end(), [](const PeerUse& a, const PeerUse& b) {
    return std::tie(a.m_team, a.m_peer) < std::tie(b.m_team, b.m_peer);
  });
  for (PeerUse& line : use) {
    auto& peers =
        engine.m_teams[internal::InternTeam(engine, line.m_team)].m_peers;
    if (!peers.empty() && peers.back().m_peer == line.m_peer) {
      peers.back().m_free = std::max(peers.back().m_free, line.m_free_grant);
    } else {
      peers.push_back(
          {.m_peer = std::move(line.m_peer), .m_free = line.m_free_grant});
    }
  }
}

}  // namespace filbertspar
