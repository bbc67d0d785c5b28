#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "filbertspar/access/access.h"
#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/store/store.h"

namespace filbertspar {

/// \brief Configuration in force at this process: polls the head row, applies
/// newer versions only and commits changes.
class Config {
 public:
  using Handler = std::function<void(std::shared_ptr<const Catalogue>)>;
  using Change = std::function<absl::Status(Catalogue&)>;

  Config(asio::io_context& context, Store& store, Duration poll_period);
  Config(const Config&) = delete;
  Config& operator=(const Config&) = delete;

  /// \brief Calls the handler with each version that comes in force.
  void OnVersion(Handler handler) { m_handler = std::move(handler); }
  void Start();

  /// \brief The document in force; null before the first.
  std::shared_ptr<const Catalogue> Current() const { return m_current; }
  const Access& GetAccess() const { return m_access; }
  ConfigVersion Version() const;

  /// \brief True when the head was confirmed within the workspace's bound.
  bool IsFresh(const WorkspaceName& workspace) const;

  /// \brief Start of the last read that found the version in force to be the
  /// newest; none before the first.
  std::optional<TimePoint> Confirmed() const {
    return m_confirmed == TimePoint::min() ? std::nullopt
                                           : std::optional(m_confirmed);
  }

  /// \brief Changes the document of version `base` (or the one in force) and
  /// commits it. kConfigConflict names the newer version, kConfigInvalid the
  /// fault, kChangeUnconfirmed means that the outcome is not known.
  asio::awaitable<absl::StatusOr<ConfigVersion>> Commit(
      std::optional<ConfigVersion> base, Change change);

  /// \brief The document of an accepted version.
  asio::awaitable<absl::StatusOr<Catalogue>> ReadVersion(ConfigVersion version);

 private:
  asio::awaitable<void> Poll();
  asio::awaitable<void> PollOnce();
  void Apply(Catalogue catalogue);

  asio::io_context& m_context;
  Store& m_store;
  Duration m_poll_period;
  Handler m_handler;
  std::shared_ptr<const Catalogue> m_current;
  Access m_access;
  TimePoint m_confirmed = TimePoint::min();
};

}  // namespace filbertspar
