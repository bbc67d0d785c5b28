#include "filbertspar/entry/src/config.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "filbertspar/program/program.h"

namespace filbertspar {
namespace {

constexpr Duration kReadDeadline = Milliseconds(900);

absl::StatusOr<ConfigVersion> Accepted(const ProposalReply& reply) {
  if (reply.m_code != Code::kOk) {
    return Error(reply.m_code, reply.m_message);
  }
  return reply.m_version;
}

}  // namespace

Config::Config(asio::io_context& context, Store& store, const NodeName& node)
    : m_context(context),
      m_store(store),
      m_rollout(MakeRollout(node, SteadyNow())),
      m_timer(context) {}

Code Config::Freshness(const WorkspaceName& workspace) const {
  return CheckFresh(m_rollout, SteadyNow(), workspace);
}

asio::awaitable<ProposalReply> Config::ProposeChange(Proposal proposal) {
  const ProposalId id(++m_last_id);
  auto done = std::make_shared<OneShot<ProposalReply>>(m_context);
  m_proposals[id] = done;
  Update([&](Rollout& rollout, TimePoint now, RolloutEffects& effects) {
    Propose(rollout, now, id, std::move(proposal), effects);
  });
  co_return co_await done->Wait();
}

asio::awaitable<absl::StatusOr<ConfigVersion>> Config::Commit(
    std::optional<ConfigVersion> base, std::string author, Change change) {
  const ConfigVersion in_force = Version();
  if (base && *base != in_force) {
    co_return Error(Code::kConfigConflict,
                    absl::StrCat("version ", in_force.Value(),
                                 " is in force, not ", base->Value()));
  }
  Proposal proposal;
  proposal.m_base = in_force;
  proposal.m_author = std::move(author);
  if (m_current != nullptr) {
    proposal.m_document = *m_current;
  }
  const absl::Status status = change(proposal.m_document);
  if (!status.ok()) {
    co_return status;
  }
  const ProposalReply reply = co_await ProposeChange(std::move(proposal));
  co_return Accepted(reply);
}

asio::awaitable<absl::StatusOr<ConfigVersion>> Config::RestoreVersion(
    ConfigVersion version, std::optional<ConfigVersion> base,
    std::string author) {
  const ConfigVersion stated = base.value_or(Version());
  const ProposalId id(++m_last_id);
  auto done = std::make_shared<OneShot<ProposalReply>>(m_context);
  m_proposals[id] = done;
  Update([&](Rollout& rollout, TimePoint now, RolloutEffects& effects) {
    Restore(rollout, now, id, version, stated, author, effects);
  });
  const ProposalReply reply = co_await done->Wait();
  co_return Accepted(reply);
}

asio::awaitable<ExportReply> Config::ExportVersion(ConfigVersion version) {
  const ConfigQueryId id(++m_last_id);
  auto done = std::make_shared<OneShot<ExportReply>>(m_context);
  m_exports[id] = done;
  Update([&](Rollout& rollout, TimePoint, RolloutEffects& effects) {
    Export(rollout, id, version, effects);
  });
  co_return co_await done->Wait();
}

asio::awaitable<CompareReply> Config::CompareVersions(ConfigVersion from,
                                                      ConfigVersion to) {
  const ConfigQueryId id(++m_last_id);
  auto done = std::make_shared<OneShot<CompareReply>>(m_context);
  m_compares[id] = done;
  Update([&](Rollout& rollout, TimePoint, RolloutEffects& effects) {
    Compare(rollout, id, from, to, effects);
  });
  co_return co_await done->Wait();
}

void Config::Apply(RolloutEffects effects) {
  for (RolloutEffect& effect : effects) {
    std::visit([this](auto& each) { Carry(each); }, effect);
  }
  Schedule();
}

void Config::Carry(const ReadHead& read) {
  asio::co_spawn(m_context, RunHeadRead(read.m_read), asio::detached);
}

void Config::Carry(const ReadVersion& read) {
  asio::co_spawn(m_context, RunVersionRead(read.m_read, read.m_version),
                 asio::detached);
}

asio::awaitable<void> Config::RunHeadRead(ConfigReadId id) {
  const absl::StatusOr<Row> row =
      co_await m_store.Read(HeadRowKey(), kReadDeadline);
  Update([&](Rollout& rollout, TimePoint now, RolloutEffects& effects) {
    HeadRead(rollout, now, id, CodeOf(row.status()), row.ok() ? *row : Row{},
             effects);
  });
}

asio::awaitable<void> Config::RunVersionRead(ConfigReadId id,
                                             ConfigVersion version) {
  const absl::StatusOr<Row> row =
      co_await m_store.Read(VersionRowKey(version), kReadDeadline);
  Update([&](Rollout& rollout, TimePoint now, RolloutEffects& effects) {
    VersionRead(rollout, now, id, CodeOf(row.status()), row.ok() ? *row : Row{},
                effects);
  });
}

void Config::Carry(WriteConfig& write) {
  const ProposalId id = write.m_proposal;
  m_store.StartWrite(
      std::move(write.m_rows), write.m_deadline,
      [this, id](const WriteReport& report) {
        Update([&](Rollout& rollout, TimePoint now, RolloutEffects& effects) {
          ConfigWriteEnded(rollout, now, id, report, effects);
        });
      });
}

void Config::Carry(const SendOffer& offer) {
  if (m_on_offer) {
    m_on_offer(offer);
  }
}

void Config::Carry(const SendFetch& fetch) {
  if (m_on_fetch) {
    m_on_fetch(fetch);
  }
}

void Config::Carry(const ApplyConfig& apply) {
  // The record owns the document; both live as long as either is used.
  m_current = std::shared_ptr<const Catalogue>(apply.m_record,
                                               &apply.m_record->m_catalogue);
  m_access = BuildAccess(*m_current);
  LoggerFor("config")->info("version {} is in force",
                            m_current->m_version.Value());
  if (m_on_version) {
    m_on_version(m_current);
  }
}

void Config::Carry(const ProposalReply& reply) {
  if (auto node = m_proposals.extract(reply.m_proposal)) {
    node.mapped()->Set(reply);
  }
}

void Config::Carry(const ExportReply& reply) {
  if (auto node = m_exports.extract(reply.m_query)) {
    node.mapped()->Set(reply);
  }
}

void Config::Carry(const CompareReply& reply) {
  if (auto node = m_compares.extract(reply.m_query)) {
    node.mapped()->Set(reply);
  }
}

void Config::Schedule() {
  const TimePoint next = NextTick(m_rollout);
  if (next >= m_timer_at || next == TimePoint::max()) {
    return;
  }
  m_timer_at = next;
  m_timer.expires_after(std::max(next - SteadyNow(), Duration(0)));
  m_timer.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    m_timer_at = TimePoint::max();
    Update([](Rollout& rollout, TimePoint now, RolloutEffects& effects) {
      Tick(rollout, now, effects);
    });
  });
}

}  // namespace filbertspar
