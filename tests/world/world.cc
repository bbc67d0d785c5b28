#include "tests/world/world.h"

#include <algorithm>
#include <variant>

namespace filbertspar::world {

Body Text(std::string text) {
  return std::make_shared<const std::string>(std::move(text));
}

World::World(WorldOptions options, std::shared_ptr<Catalogue> catalogue,
             const std::vector<WorkerInfo>& workers,
             std::vector<std::unique_ptr<EngineApi>> engines)
    : m_options(options),
      m_rng(options.m_seed),
      m_catalogue(std::move(catalogue)) {
  for (const WorkerInfo& info : workers) {
    m_workers[info.m_name].m_info = info;
  }
  for (auto& engine : engines) {
    Node& node = m_nodes.emplace_back();
    node.m_engine = std::move(engine);
    node.m_name = NodeName("n" + std::to_string(m_nodes.size()));
  }
  for (const Key& key : m_catalogue->m_keys) {
    HistoryRecord& record = Record(HistoryEvent::kKeyLive);
    record.m_team = key.m_team.Value();
    record.m_key = key.m_name.Value();
  }
  const auto nodes = static_cast<std::int64_t>(m_nodes.size());
  for (const Team& team : m_catalogue->m_teams) {
    HistoryRecord& record = Record(HistoryEvent::kCeiling);
    record.m_team = team.m_name.Value();
    record.m_units = team.m_ceiling;
    for (std::int64_t n = 0; n < nodes; ++n) {
      m_nodes[static_cast<std::size_t>(n)].m_granted[team.m_name] =
          team.m_ceiling / nodes + (n < team.m_ceiling % nodes ? 1 : 0);
    }
  }
  for (std::size_t n = 0; n < m_nodes.size(); ++n) {
    Change(n, [this, n](EngineApi& engine, TimePoint now, Effects& effects) {
      engine.Configure(now, m_catalogue, effects);
      engine.Workers(now, WorkerList(), effects);
      for (const auto& [team, units] : m_nodes[n].m_granted) {
        engine.Grant(now, team, units, effects);
      }
    });
  }
}

void World::Run() {
  // Longest of run time, pause and lease, with the engine's own margins.
  constexpr Duration kAftermath = Seconds(120);
  Offer();
  PlanFaults();
  Every(Seconds(1), [this] { ShareUse(); });
  while (!m_events.empty() &&
         m_events.begin()->first.first < End() + kAftermath) {
    auto event = m_events.extract(m_events.begin());
    m_now = event.key().first;
    event.mapped()();
  }
  CheckSettlements();
}

Duration World::Random(Duration from, Duration to) {
  return from + Duration(static_cast<std::int64_t>(m_rng.Below(
                    static_cast<std::uint64_t>((to - from).count()) + 1)));
}

void World::After(Duration delay, Event event) {
  m_events.emplace(std::make_pair(m_now + delay, ++m_sequence),
                   std::move(event));
}

void World::Every(Duration interval, const Event& event) {
  After(interval, [this, interval, event] {
    event();
    if (m_now < End()) {
      Every(interval, event);
    }
  });
}

HistoryRecord& World::Record(HistoryEvent event) {
  HistoryRecord& record = m_history.emplace_back();
  record.m_event = event;
  record.m_time_us = m_now.time_since_epoch().count();
  return record;
}

std::vector<WorkerInfo> World::WorkerList() const {
  std::vector<WorkerInfo> list;
  for (const auto& [name, worker] : m_workers) {
    list.push_back(worker.m_info);
  }
  return list;
}

void World::Change(std::size_t n, const EngineCall& change) {
  if (m_nodes[n].m_paused) {
    m_nodes[n].m_deferred.emplace_back(
        [this, n, change] { Change(n, change); });
    return;
  }
  Effects effects;
  change(*m_nodes[n].m_engine, m_now, effects);
  for (const Effect& effect : effects) {
    std::visit([this, n](const auto& one) { Do(n, one); }, effect);
  }
  PlanTick(n);
}

void World::PlanTick(std::size_t n) {
  const auto next = m_nodes[n].m_engine->NextTick();
  if (!next || *next >= m_nodes[n].m_tick_at) {
    return;
  }
  const TimePoint at = std::max(*next, m_now + Duration(1));
  m_nodes[n].m_tick_at = at;
  After(at - m_now, [this, n, at] {
    if (m_nodes[n].m_tick_at != at) {
      return;
    }
    m_nodes[n].m_tick_at = TimePoint::max();
    Change(n, [](EngineApi& engine, TimePoint now, Effects& effects) {
      engine.Tick(now, effects);
    });
  });
}

void World::Offer() {
  Duration at{0};
  while (at < m_options.m_load_time) {
    After(at, [this] { SubmitCall(); });
    at += Random(Duration(1), 2 * m_options.m_mean_gap);
  }
}

void World::SubmitCall() {
  const auto& entries = m_catalogue->m_entries;
  const CatalogueEntry& entry = entries[m_rng.Below(entries.size())];
  const std::size_t n = m_rng.Below(m_nodes.size());
  Submission submission;
  submission.m_entry = entry.m_name;
  submission.m_team = entry.m_owner;
  if (!entry.m_open) {
    const auto& keys = m_catalogue->m_keys;
    const Key& key = keys[m_rng.Below(keys.size())];
    submission.m_key = key.m_name;
    submission.m_team = key.m_team;
  }
  const std::uint64_t call = ++m_counts.m_calls;
  submission.m_body = Text("body of call " + std::to_string(call));
  if (!entry.m_repeatable) {
    // Few keys, so that callers repeat requests at the same and other nodes.
    submission.m_request_key =
        "k" + std::to_string(m_rng.Below(m_options.m_request_keys));
  }
  submission.m_deadline =
      Random(m_options.m_min_deadline, m_options.m_max_deadline);
  HistoryRecord& record = Record(HistoryEvent::kSubmitted);
  record.m_call = call;
  record.m_node = m_nodes[n].m_name.Value();
  record.m_team = submission.m_team.Value();
  record.m_entry = submission.m_entry.Value();
  record.m_key = submission.m_key.Value();
  record.m_request_key = submission.m_request_key;
  Change(n, [this, n, call, submission](EngineApi& engine, TimePoint now,
                                        Effects& effects) {
    const RequestId id = engine.Submit(now, submission, effects);
    m_calls[id] = call;
    m_open[id] = n;
  });
}

void World::Do(std::size_t n, const Reply& reply) {
  m_open.erase(reply.m_request);
  if (const auto origin = m_origins.find(reply.m_request);
      origin != m_origins.end()) {
    AnswerForward(origin->second, reply);
    return;
  }
  const Outcome outcome = Describe(reply.m_code).m_outcome;
  HistoryRecord& record =
      Record(outcome == Outcome::kNotRun ? HistoryEvent::kRefused
                                         : HistoryEvent::kAnswered);
  record.m_node = m_nodes[n].m_name.Value();
  record.m_call = m_calls.at(reply.m_request);
  record.m_request = std::to_string(reply.m_request.Value());
  record.m_code = static_cast<int>(reply.m_code);
  record.m_outcome = OutcomeName(outcome);
  if (reply.m_code == Code::kOk) {
    record.m_digest = *reply.m_body;
  }
  if (outcome == Outcome::kUnknown) {
    m_unknown[reply.m_request] = n;
  }
  ++m_counts.m_replies[reply.m_code];
  if (m_now >= TimePoint(m_options.m_settled_after)) {
    ++m_counts.m_late_replies;
    m_counts.m_late_failures += reply.m_code == Code::kOk ? 0 : 1;
  }
}

// An answer settled after "unknown" has to be the result of a finished task of
// the same call, or of a call with the same request key.
void World::CheckSettlements() {
  std::set<std::string> done;
  std::map<std::uint64_t, std::string> keys;
  std::map<std::string, std::set<std::string>> by_key;
  for (const HistoryRecord& record : m_history) {
    if (record.m_event == HistoryEvent::kEnded && record.m_outcome == "done") {
      done.insert(record.m_digest);
    } else if (record.m_event == HistoryEvent::kSubmitted) {
      const std::string call = std::to_string(record.m_call);
      std::string& key = keys[record.m_call];
      key = record.m_request_key.empty()
                ? call
                : record.m_team + ":" + record.m_request_key;
      by_key[key].insert("result of body of call " + call);
    }
  }
  for (const auto& [request, n] : m_unknown) {
    const auto status = m_nodes[n].m_engine->Query(request);
    if (!status || status->m_outcome != Outcome::kRan) {
      continue;
    }
    ++m_counts.m_settled;
    if (status->m_code == Code::kOk &&
        (!done.contains(*status->m_body) ||
         !by_key[keys[m_calls.at(request)]].contains(*status->m_body))) {
      ++m_counts.m_false_settlements;
    }
  }
}

}  // namespace filbertspar::world
