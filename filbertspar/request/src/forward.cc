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

// One hop, once, and never work that a claim or an attempt binds to this node.
bool MayForward(const Request& request) {
  return !request.m_submission.m_forwarded && !request.m_was_forwarded &&
         !request.m_claimed && !request.m_may_have_run && !request.m_ran;
}

void Forward(Engine& engine, TimePoint now, Request& request, PeerGrant& peer,
             Effects& effects) {
  --peer.m_free;
  request.m_was_forwarded = true;
  request.m_state = RequestState::kForwarded;
  ++engine.m_counters.m_forwarded;
  Submission submission = request.m_submission;
  submission.m_deadline = request.m_deadline - now;
  submission.m_forwarded = true;
  submission.m_forwarded_id = request.m_id;
  effects.emplace_back(ForwardRequest{.m_request = request.m_id,
                                      .m_peer = peer.m_peer,
                                      .m_submission = std::move(submission)});
}

}  // namespace

bool TryForward(Engine& engine, TimePoint now, Request& request,
                Effects& effects) {
  TeamState& team = TeamOf(engine, request.m_team);
  if (FreeUnits(team) > team.m_waiting || !MayForward(request)) {
    return false;
  }
  PeerGrant* peer = FreePeer(team);
  if (peer == nullptr) {
    return false;
  }
  Forward(engine, now, request, *peer, effects);
  return true;
}

void ForwardWaiting(Engine& engine, TimePoint now, Effects& effects) {
  for (std::size_t i = 0; i < engine.m_teams.size(); ++i) {
    TeamState& team = engine.m_teams[i];
    for (std::size_t pool = 0; pool < engine.m_pools.size(); ++pool) {
      if (team.m_waiting == 0 || FreeUnits(team) > 0 ||
          FreePeer(team) == nullptr) {
        break;
      }
      std::optional<Ticket> ticket =
          NextRequest(engine.m_queue, now, PoolIndex(pool), TeamIndex(i));
      while (ticket && FreePeer(team) != nullptr) {
        const std::optional<Ticket> next = Following(engine.m_queue, *ticket);
        Request& request =
            *FindRequest(engine, Find(engine.m_queue, *ticket)->m_request);
        if (MayForward(request) && request.m_deadline > now) {
          TakeWaiting(engine, now, request, /*to_start=*/false);
          Forward(engine, now, request, *FreePeer(team), effects);
        }
        ticket = next;
      }
    }
  }
}

void UpdateWant(Engine& engine, TimePoint now, TeamState& team,
                Effects& effects) {
  const std::int64_t wanted = team.m_running + team.m_waiting;
  if (wanted == team.m_wanted ||
      now < team.m_wanted_at + engine.m_options.m_want_pause) {
    return;
  }
  team.m_wanted = wanted;
  team.m_wanted_at = now;
  effects.emplace_back(WantGrant{.m_team = team.m_name, .m_units = wanted});
}

namespace {

// Lets a request that the peer did not run wait here.
void Return(Engine& engine, TimePoint now, Request& request, Effects& effects) {
  if (request.m_repeatable) {
    PutBackWaiting(engine, now, request, effects);
    return;
  }
  // A claim row that the peer wrote makes this write fail, so the request
  // runs at most once whatever became of the peer's copy.
  request.m_state = RequestState::kClaiming;
  effects.emplace_back(
      WriteClaim{.m_request = request.m_id,
                 .m_team = request.m_submission.m_team,
                 .m_request_key = request.m_submission.m_request_key});
}

}  // namespace
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
      internal::Return(engine, now, *request, effects);
    }
  }
  internal::Dispatch(engine, now, effects);
}

void SetPeerUse(Engine& engine, TimePoint now, std::vector<PeerUse> use) {
  for (internal::TeamState& team : engine.m_teams) {
    team.m_peers.clear();
  }
  std::sort(use.begin(), use.end(), [](const PeerUse& a, const PeerUse& b) {
    return std::tie(a.m_peer, a.m_team) < std::tie(b.m_peer, b.m_team);
  });
  std::vector<NodeName> gone;
  for (const auto& [peer, cells] : engine.m_share.m_peers) {
    gone.push_back(peer);
  }
  std::vector<PeerCell> cells;
  for (std::size_t i = 0; i < use.size();) {
    const NodeName& peer = use[i].m_peer;
    cells.clear();
    std::size_t end = i;
    for (; end < use.size() && use[end].m_peer == peer; ++end) {
      const PeerUse& line = use[end];
      const auto team = FindTeamIndex(engine.m_share, line.m_team);
      if (!team) {
        continue;
      }
      auto& peers = internal::TeamOf(engine, *team).m_peers;
      if (peers.empty() || peers.back().m_peer != peer) {
        peers.push_back({.m_peer = peer, .m_free = line.m_free_grant});
      } else {
        peers.back().m_free = std::max(peers.back().m_free, line.m_free_grant);
      }
      if (const auto pool = FindPoolIndex(engine.m_share, line.m_pool)) {
        cells.push_back({.m_pool = *pool,
                         .m_team = *team,
                         .m_running = line.m_running,
                         .m_waiting = line.m_waiting});
      }
    }
    SetPeerUse(engine.m_share, now, peer, cells);
    std::erase(gone, peer);
    i = end;
  }
  for (const NodeName& peer : gone) {
    DropPeer(engine.m_share, now, peer);
  }
}

}  // namespace filbertspar
