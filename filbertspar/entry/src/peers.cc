#include "filbertspar/entry/src/peers.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "boost/asio/as_tuple.hpp"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "filbertspar/program/program.h"

namespace filbertspar {
namespace {

constexpr Duration kRound = Milliseconds(500);
constexpr Duration kListPeriod = Seconds(5);
constexpr Duration kReadDeadline = Seconds(1);
constexpr std::size_t kMaxTakenOver = 10'000;
constexpr Duration kUseLife = Seconds(5);
/// Added to a forwarded request's deadline before its answer is given up.
constexpr Duration kForwardMargin = Seconds(2);
/// A connection that is silent for longer is replaced, so a report is never
/// older than this when it arrives, unless this process was paused itself.
constexpr Duration kReportDelay = Milliseconds(2500);
/// A gap between rounds that shows that this process was paused; messages that
/// waited meanwhile say nothing about now.
constexpr Duration kPauseGap = Seconds(1);

MemberUpdate SelfOf(const EntryOptions& options, const NodeName& node) {
  MemberUpdate self;
  self.m_node = node;
  self.m_zone = options.m_zone;
  self.m_endpoint = *options.m_peer_listen;
  return self;
}

}  // namespace

Peers::Peers(asio::io_context& context, const EntryOptions& options,
             const NodeName& node, std::shared_ptr<const Secrets> secrets,
             std::uint64_t seed, Store& store, Config& config,
             Dispatcher& dispatcher, GrantKeeper& grants,
             const WorkerDirectory& workers)
    : m_context(context),
      m_options(options),
      m_store(store),
      m_config(config),
      m_dispatcher(dispatcher),
      m_grants(grants),
      m_workers(workers),
      m_node(node),
      m_links(
          context, SelfOf(options, node), MembershipOptions(),
          std::move(secrets), seed,
          [this](const NodeName& peer, const Message& message) {
            Received(peer, message);
          },
          [this](const MemberUpdate& update) { Changed(update); }) {}

absl::Status Peers::Start() {
  FS_RETURN_IF_ERROR(m_links.Start());
  m_config.OnOffer([this](const SendOffer& offer) {
    ConfigOffer message;
    message.m_version = offer.m_version;
    if (offer.m_record != nullptr) {
      message.m_document = ToText(RecordToJson(*offer.m_record));
    }
    m_links.Send(offer.m_peer, message);
  });
  m_config.OnFetch([this](const SendFetch& fetch) {
    m_links.Send(fetch.m_peer, ConfigFetch{});
  });
  m_dispatcher.OnForward(
      [this](const ForwardRequest& request) { SendForward(request); });
  m_links.SetListed(m_options.m_listed_peers);
  m_last_round = SteadyNow();
  asio::co_spawn(m_context, RunRounds(), asio::detached);
  asio::co_spawn(m_context, PollList(), asio::detached);
  return absl::OkStatus();
}

void Peers::Received(const NodeName& peer, const Message& message) {
  std::visit(
      [&](const auto& each) {
        if constexpr (requires { Take(peer, each); }) {
          Take(peer, each);
        }
      },
      message);
}

void Peers::Take(const NodeName& peer, const ConfigOffer& offer) {
  ConfigRecordPtr record;
  if (!offer.m_document.empty()) {
    const absl::StatusOr<Json> json = ParseJson(offer.m_document);
    const absl::StatusOr<ConfigRecordPtr> parsed =
        json.ok() ? RecordFromJson(*json)
                  : absl::StatusOr<ConfigRecordPtr>(json.status());
    if (!parsed.ok()) {
      LoggerFor("peers")->warn("{} offered a document that cannot be read",
                               peer.Value());
      return;
    }
    record = *parsed;
  }
  m_config.Update(
      [&](Rollout& rollout, TimePoint now, RolloutEffects& effects) {
        OfferReceived(rollout, now, peer, offer.m_version, record, effects);
      });
}

void Peers::Take(const NodeName& peer, const ConfigFetch& fetch) {
  static_cast<void>(fetch);
  m_config.Update([&](Rollout& rollout, TimePoint, RolloutEffects& effects) {
    FetchReceived(rollout, peer, effects);
  });
}

void Peers::Take(const NodeName& peer, const UseSummary& summary) {
  std::vector<PeerUse> use;
  struct Demand {
    std::int64_t m_running = 0;
    std::int64_t m_waiting = 0;
    std::int64_t m_free = 0;
  };
  std::map<TeamName, Demand> demands;
  for (const UseLine& line : summary.m_lines) {
    use.push_back({peer, line.m_pool, line.m_team, line.m_running,
                   line.m_waiting, line.m_free_grant});
    Demand& demand = demands[line.m_team];
    demand.m_running += line.m_running;
    demand.m_waiting += line.m_waiting;
    demand.m_free = std::max(demand.m_free, line.m_free_grant);
  }
  m_use[peer] = std::move(use);
  m_use_at[peer] = SteadyNow();
  m_grants.Update([&](Grants& grants, TimePoint now, GrantEffects&) {
    RecordHolderHeartbeat(grants, now, peer);
    for (const auto& [team, demand] : demands) {
      UpdatePeerDemand(grants, now, peer, team, demand.m_running,
                       demand.m_waiting, demand.m_free);
    }
  });
}

void Peers::Take(const NodeName& peer, const Forward& forward) {
  asio::co_spawn(m_context, RunForwarded(peer, forward), asio::detached);
}

asio::awaitable<void> Peers::RunForwarded(NodeName peer, Forward forward) {
  Submission submission;
  submission.m_entry = forward.m_entry;
  submission.m_team = forward.m_team;
  submission.m_body = std::make_shared<const std::string>(forward.m_body);
  submission.m_request_key = forward.m_request_key;
  submission.m_deadline = forward.m_deadline;
  submission.m_forwarded = true;
  submission.m_forwarded_id = forward.m_request;
  const std::function<void(RequestId)> admitted = [&](RequestId request) {
    m_taken_over.push_back({forward.m_request, request});
    if (m_taken_over.size() > kMaxTakenOver) {
      m_taken_over.pop_front();
    }
  };
  const Reply answer =
      co_await m_dispatcher.Submit(std::move(submission), admitted);
  ForwardReply reply;
  reply.m_request = forward.m_request;
  reply.m_code = answer.m_code;
  if (answer.m_body != nullptr) {
    reply.m_body = *answer.m_body;
  }
  m_links.Send(peer, reply);
}

void Peers::SendForward(const ForwardRequest& request) {
  const Submission& submission = request.m_submission;
  Forward forward;
  forward.m_request = request.m_request;
  forward.m_entry = submission.m_entry;
  forward.m_team = submission.m_team;
  forward.m_request_key = submission.m_request_key;
  forward.m_deadline = submission.m_deadline;
  if (submission.m_body != nullptr) {
    forward.m_body = *submission.m_body;
  }
  m_forwards[request.m_request] = {
      request.m_peer, SteadyNow() + submission.m_deadline + kForwardMargin};
  if (!m_links.Send(request.m_peer, forward)) {
    ForwardReport report;
    report.m_request = request.m_request;
    report.m_result = ForwardResult::kNotSent;
    // Settled later: the engine is in the middle of handing out its effects.
    asio::post(m_context, [this, report] { SettleForward(report); });
  }
}

void Peers::Take(const NodeName& peer, const ForwardReply& reply) {
  const auto found = m_forwards.find(reply.m_request);
  if (found == m_forwards.end() || found->second.m_peer != peer) {
    return;
  }
  ForwardReport report;
  report.m_request = reply.m_request;
  report.m_result = ForwardResult::kAnswered;
  report.m_code = reply.m_code;
  report.m_body = std::make_shared<const std::string>(reply.m_body);
  SettleForward(report);
}

void Peers::SettleForward(const ForwardReport& report) {
  if (m_forwards.erase(report.m_request) == 0) {
    return;
  }
  m_dispatcher.Update([&](Engine& engine, TimePoint now, Effects& effects) {
    ForwardSettled(engine, now, report, effects);
  });
}

void Peers::ExpireForwards() {
  const TimePoint now = SteadyNow();
  std::vector<RequestId> lost;
  for (const auto& [request, forward] : m_forwards) {
    if (now >= forward.m_give_up ||
        !IsUsable(m_links.State(), forward.m_peer)) {
      lost.push_back(request);
    }
  }
  for (RequestId request : lost) {
    ForwardReport report;
    report.m_request = request;
    report.m_result = ForwardResult::kLost;
    SettleForward(report);
  }
}

void Peers::Changed(const MemberUpdate& update) {
  LoggerFor("peers")->info("{} is {}", update.m_node.Value(),
                           update.m_state == MemberState::kLive   ? "live"
                           : update.m_state == MemberState::kDead ? "dead"
                                                                  : "leaving");
  if (update.m_state != MemberState::kLive) {
    m_use.erase(update.m_node);
    return;
  }
  const VmName vm = VmOf(update.m_node);
  const NodeName before = std::exchange(m_live[vm], update.m_node);
  m_config.Update([&](Rollout& rollout, TimePoint now, RolloutEffects&) {
    PeerKnown(rollout, update.m_node);
    // A VM runs one entry process at a time, so the older one is gone.
    if (!before.Empty() && before != update.m_node) {
      PeerLeft(rollout, now, before);
    }
  });
  m_grants.Update([&](Grants& grants, TimePoint now, GrantEffects&) {
    RecordHolderHeartbeat(grants, now, update.m_node);
  });
}

asio::awaitable<void> Peers::RunRounds() {
  asio::steady_timer timer(m_context);
  bool send_use = false;
  while (true) {
    timer.expires_after(kRound);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const TimePoint now = SteadyNow();
    if (now - m_last_round > kPauseGap) {
      m_paused_until = now + kReportDelay;
    }
    m_last_round = now;
    m_links.SetStatus(m_config.Version(), m_store.Reachable());
    ReportFreshness();
    ExpireForwards();
    send_use = !send_use;
    if (send_use) {
      SendUse();
    }
  }
}

void Peers::SendUse() {
  UseSummary summary;
  summary.m_node = m_node;
  for (const TeamPoolUse& use : UseOf(m_dispatcher.GetEngine())) {
    summary.m_lines.push_back({use.m_pool, use.m_team, use.m_running,
                               use.m_waiting, use.m_free_grant});
  }
  for (const NodeName& peer : m_links.Connected()) {
    m_links.Send(peer, summary);
  }
  std::vector<PeerUse> all;
  for (auto& [peer, use] : m_use) {
    if (SteadyNow() - m_use_at[peer] <= kUseLife) {
      all.insert(all.end(), use.begin(), use.end());
    }
  }
  m_dispatcher.Update([&](Engine& engine, TimePoint now, Effects&) {
    SetPeerUse(engine, now, std::move(all));
  });
}

void Peers::ReportFreshness() {
  const TimePoint now = SteadyNow();
  const std::optional<TimePoint> none =
      now < m_paused_until ? std::nullopt
                           : NoStoreAnywhereAt(m_links.State(), now);
  for (const MemberUpdate& member : LiveMembers(m_links.State())) {
    PeerReport report;
    report.m_peer = member.m_node;
    const auto found = m_links.State().m_members.find(VmOf(member.m_node));
    if (found != m_links.State().m_members.end()) {
      report.m_version = found->second.m_version;
    }
    report.m_reaches_store = !none.has_value();
    report.m_as_of = none.value_or(now) - kReportDelay;
    m_config.Update(
        [&](Rollout& rollout, TimePoint at, RolloutEffects& effects) {
          PeerReported(rollout, at, report, effects);
        });
  }
}

/// The platform lists workers too; those have rows in the table `vm`.
asio::awaitable<void> Peers::PollList() {
  asio::steady_timer timer(m_context);
  while (true) {
    const absl::StatusOr<VmList> list = co_await m_store.ReadVms(kReadDeadline);
    if (list.ok()) {
      std::vector<ListedVm> listed;
      for (const PlatformVm& vm : list->m_vms) {
        const std::optional<Endpoint> endpoint = ParseEndpoint(vm.m_address);
        if (endpoint && !m_workers.m_vms.contains(vm.m_id) &&
            vm.m_id != m_options.m_name) {
          listed.push_back({vm.m_id, vm.m_zone, *endpoint});
        }
      }
      if (!listed.empty()) {
        m_links.SetListed(listed);
      }
      m_grants.Update([&](Grants& grants, TimePoint now, GrantEffects&) {
        HandleVmList(grants, now, *list);
      });
    }
    timer.expires_after(kListPeriod);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

}  // namespace filbertspar
