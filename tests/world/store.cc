#include "tests/world/world.h"

namespace filbertspar::world {
namespace {

std::string RowOf(const TeamName& team, const std::string& key) {
  return team.Value() + ":" + key;
}

}  // namespace

ClaimReport World::Insert(const WriteClaim& claim) {
  ClaimReport report{.m_request = claim.m_request,
                     .m_result = ClaimResult::kClaimed,
                     .m_body = nullptr};
  const auto [row, inserted] = m_claims.try_emplace(
      RowOf(claim.m_team, claim.m_request_key),
      Claim{.m_holder = claim.m_request, .m_body = nullptr});
  if (inserted || row->second.m_holder == claim.m_request ||
      m_options.m_plant == Plant::kClaimsIgnored) {
    return report;
  }
  report.m_result = row->second.m_finished ? ClaimResult::kFinishedBefore
                                           : ClaimResult::kHeldByOther;
  report.m_code = row->second.m_code;
  report.m_body = row->second.m_body;
  return report;
}

void World::ReportClaim(std::size_t n, const ClaimReport& report) {
  After(Hop(), [this, n, report] {
    Change(n, [report](EngineApi& engine, TimePoint now, Effects& effects) {
      engine.Claimed(now, report, effects);
    });
  });
}

void World::WhenStoreUp(const Event& event) {
  After(Hop(), [this, event] {
    if (m_store_down) {
      After(Milliseconds(500), [this, event] { WhenStoreUp(event); });
    } else {
      event();
    }
  });
}

void World::Do(std::size_t n, const WriteClaim& claim) {
  After(Random(Milliseconds(1), Milliseconds(40)), [this, n, claim] {
    ClaimReport down{.m_request = claim.m_request, .m_body = nullptr};
    if (m_store_down && m_rng.Chance(0.5)) {
      ReportClaim(n, down);
      return;
    }
    ClaimReport unsettled = down;
    unsettled.m_result = ClaimResult::kUnsettled;
    if (m_store_down) {
      // The write did not arrive, which is known only once the store is up.
      ReportClaim(n, unsettled);
      WhenStoreUp([this, n, down] { ReportClaim(n, down); });
      return;
    }
    const ClaimReport report = Insert(claim);
    if (m_rng.Chance(Faults().m_lose_claim_answer)) {
      ReportClaim(n, unsettled);
      After(Random(Milliseconds(10), Seconds(10)), [this, n, report] {
        WhenStoreUp([this, n, report] { ReportClaim(n, report); });
      });
    } else {
      ReportClaim(n, report);
    }
  });
}

void World::Do(std::size_t /*n*/, const FinishClaim& claim) {
  WhenStoreUp([this, claim] {
    Claim& row = m_claims[RowOf(claim.m_team, claim.m_request_key)];
    if (row.m_holder == claim.m_request) {
      row.m_finished = true;
      row.m_code = claim.m_code;
      row.m_body = claim.m_body;
    }
  });
}

void World::Do(std::size_t /*n*/, const ReleaseClaim& claim) {
  WhenStoreUp([this, claim] {
    const auto row = m_claims.find(RowOf(claim.m_team, claim.m_request_key));
    if (row != m_claims.end() && row->second.m_holder == claim.m_request) {
      m_claims.erase(row);
    }
  });
}

void World::Do(std::size_t n, const ForwardRequest& forward) {
  ++m_counts.m_forwards;
  const Origin origin{.m_node = n,
                      .m_request = forward.m_request,
                      .m_is_lost = m_rng.Chance(Faults().m_lose_forward)};
  ForwardReport failed{.m_request = forward.m_request, .m_body = nullptr};
  if (m_rng.Chance(Faults().m_not_sent)) {
    failed.m_result = ForwardResult::kNotSent;
    After(Hop(), [this, origin, failed] { ReportForward(origin, failed); });
    return;
  }
  if (origin.m_is_lost) {
    // Before or after the peer took the request over.
    After(Random(Duration(100), Seconds(1)),
          [this, origin, failed] { ReportForward(origin, failed); });
    if (m_rng.Chance(0.3)) {
      return;
    }
  }
  After(Random(Duration(100), Milliseconds(400)), [this, origin, forward] {
    std::size_t peer = 0;
    while (m_nodes[peer].m_name != forward.m_peer) {
      ++peer;
    }
    Change(peer, [this, peer, origin, forward](EngineApi& engine, TimePoint now,
                                               Effects& effects) {
      const RequestId copy = engine.Submit(now, forward.m_submission, effects);
      m_origins[copy] = origin;
      m_open[copy] = peer;
      HistoryRecord& record = Record(HistoryEvent::kForwarded);
      record.m_request = std::to_string(copy.Value());
      record.m_origin = std::to_string(origin.m_request.Value());
    });
  });
}

void World::AnswerForward(const Origin& origin, const Reply& reply) {
  if (!origin.m_is_lost) {
    ForwardReport report{.m_request = origin.m_request,
                         .m_result = ForwardResult::kAnswered,
                         .m_code = reply.m_code,
                         .m_body = reply.m_body};
    After(Hop(), [this, origin, report] { ReportForward(origin, report); });
  }
}

void World::ReportForward(const Origin& origin, const ForwardReport& report) {
  Change(origin.m_node,
         [report](EngineApi& engine, TimePoint now, Effects& effects) {
           engine.Forwarded(now, report, effects);
         });
}

void World::Do(std::size_t /*n*/, const WantGrant& /*want*/) {
  ++m_counts.m_wants;
}

// Peers learn each other's use late, from the last state of a paused one.
void World::ShareUse() {
  for (std::size_t n = 0; n < m_nodes.size(); ++n) {
    std::vector<PeerUse> use;
    for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
      if (peer == n) {
        continue;
      }
      for (const TeamPoolUse& line : m_nodes[peer].m_engine->Use()) {
        use.push_back({.m_peer = m_nodes[peer].m_name,
                       .m_pool = line.m_pool,
                       .m_team = line.m_team,
                       .m_running = line.m_running,
                       .m_waiting = line.m_waiting,
                       .m_free_grant = line.m_free_grant});
      }
    }
    Change(n, [use](EngineApi& engine, TimePoint now, Effects& /*effects*/) {
      engine.Peers(now, use);
    });
  }
}

}  // namespace filbertspar::world
