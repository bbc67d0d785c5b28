#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "filbertspar/access/access.h"
#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/rollout/rollout.h"
#include "filbertspar/store/store.h"

namespace filbertspar {

/// \brief Shell of the configuration roll-out: carries out its effects on the
/// store and the peers, and keeps the document and the rights in force.
class Config {
 public:
  using VersionHandler = std::function<void(std::shared_ptr<const Catalogue>)>;
  using OfferHandler = std::function<void(const SendOffer&)>;
  using FetchHandler = std::function<void(const SendFetch&)>;

  Config(asio::io_context& context, Store& store, const NodeName& node);
  Config(const Config&) = delete;
  Config& operator=(const Config&) = delete;

  /// \brief Calls the handler with each version that comes in force.
  void OnVersion(VersionHandler handler) { m_on_version = std::move(handler); }
  void OnOffer(OfferHandler handler) { m_on_offer = std::move(handler); }
  void OnFetch(FetchHandler handler) { m_on_fetch = std::move(handler); }
  void Start() { Schedule(); }

  /// \brief The document in force; null before the first.
  std::shared_ptr<const Catalogue> Current() const { return m_current; }
  const Access& GetAccess() const { return m_access; }
  ConfigVersion Version() const { return VersionInForce(m_rollout); }
  const Rollout& GetRollout() const { return m_rollout; }

  /// \brief kOk when new keyed work of the workspace may be taken.
  Code Freshness(const WorkspaceName& workspace) const;

  using Change = std::function<absl::Status(Catalogue&)>;

  /// \brief Time up to which no accepted version was missed; none before the
  /// first confirmation.
  std::optional<TimePoint> Confirmed() const {
    return FreshAsOf(m_rollout, SteadyNow());
  }

  /// \brief Changes the document of version `base` (or the one in force) and
  /// commits it. kConfigConflict names the newer version, kConfigInvalid the
  /// fault, kChangeUnconfirmed means that the outcome is not known.
  asio::awaitable<absl::StatusOr<ConfigVersion>> Commit(
      std::optional<ConfigVersion> base, std::string author, Change change);
  asio::awaitable<absl::StatusOr<ConfigVersion>> RestoreVersion(
      ConfigVersion version, std::optional<ConfigVersion> base,
      std::string author);
  asio::awaitable<ExportReply> ExportVersion(ConfigVersion version);
  asio::awaitable<CompareReply> CompareVersions(ConfigVersion from,
                                                ConfigVersion to);

  /// \brief Takes in an event of the peers.
  template <typename Event>
  void Update(Event event) {
    RolloutEffects effects;
    event(m_rollout, SteadyNow(), effects);
    Apply(std::move(effects));
  }

 private:
  asio::awaitable<ProposalReply> ProposeChange(Proposal proposal);

  using Proposed = std::shared_ptr<OneShot<ProposalReply>>;

  void Apply(RolloutEffects effects);
  void Carry(const ReadHead& read);
  void Carry(const ReadVersion& read);
  void Carry(WriteConfig& write);
  void Carry(const SendOffer& offer);
  void Carry(const SendFetch& fetch);
  void Carry(const ApplyConfig& apply);
  void Carry(const ProposalReply& reply);
  void Carry(const ExportReply& reply);
  void Carry(const CompareReply& reply);
  asio::awaitable<void> RunHeadRead(ConfigReadId id);
  asio::awaitable<void> RunVersionRead(ConfigReadId id, ConfigVersion version);
  void Schedule();

  asio::io_context& m_context;
  Store& m_store;
  Rollout m_rollout;
  VersionHandler m_on_version;
  OfferHandler m_on_offer;
  FetchHandler m_on_fetch;
  std::shared_ptr<const Catalogue> m_current;
  Access m_access;
  asio::steady_timer m_timer;
  TimePoint m_timer_at = TimePoint::max();
  std::uint64_t m_last_id = 0;
  std::map<ProposalId, Proposed> m_proposals;
  std::map<ConfigQueryId, std::shared_ptr<OneShot<ExportReply>>> m_exports;
  std::map<ConfigQueryId, std::shared_ptr<OneShot<CompareReply>>> m_compares;
};

}  // namespace filbertspar
