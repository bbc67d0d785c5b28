#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/steady_timer.hpp"
#include "filbertspar/http/http.h"
#include "filbertspar/platform/platform.h"
#include "filbertspar/settings/settings.h"
#include "filbertspar/store/src/one_shot.h"

namespace filbertspar {

/// \brief The platform's table, object store and VM list as one process uses
/// them. All calls run on the context's only thread.
class Store {
 public:
  using WriteHandler = std::function<void(const WriteReport&)>;
  using ItemHandler = std::function<void(const ItemReport&)>;

  Store(asio::io_context& context, HttpClient& client, Endpoint platform,
        const NodeName& node, std::uint64_t seed);
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  /// \brief Reads a row; version 0 when it does not exist.
  asio::awaitable<absl::StatusOr<Row>> Read(RowKey key, Duration deadline);
  asio::awaitable<absl::StatusOr<ChangeList>> ReadChanges(std::string table,
                                                          std::uint64_t since,
                                                          Duration deadline);
  asio::awaitable<absl::StatusOr<VmList>> ReadVms(Duration deadline);
  asio::awaitable<absl::StatusOr<std::string>> ReadObject(std::string name,
                                                          Duration deadline);
  asio::awaitable<absl::Status> PutObject(std::string name, std::string bytes,
                                          Duration deadline);

  /// \brief Writes rows and waits for the first report, which may be
  /// kUnsettled at the deadline.
  asio::awaitable<WriteReport> Write(std::vector<RowWrite> rows,
                                     Duration deadline);

  /// \brief Writes rows; the handler gets every report, the last one final.
  void StartWrite(std::vector<RowWrite> rows, Duration deadline,
                  WriteHandler handler);

  /// \brief Writes one row together with others; the handler gets every
  /// report, the last one final.
  void AddRow(RowWrite row, Duration deadline, ItemHandler handler);

  bool Reachable() const { return IsReachable(m_client); }

 private:
  std::shared_ptr<OneShot<CallReport>> StartCall(PlatformCall call,
                                                 Duration deadline);
  asio::awaitable<void> Send(Transmit transmit);
  void Apply(PlatformEffects effects);
  void HandOut(const ItemReports& reports);
  void Schedule();
  void OnTimer();

  asio::io_context& m_context;
  HttpClient& m_http;
  Endpoint m_platform;
  PlatformClient m_client;
  WriteBatcher m_batcher;
  asio::steady_timer m_timer;
  TimePoint m_timer_at = TimePoint::max();
  std::map<OperationId, std::function<void(const CallReport&)>> m_calls;
  std::map<OperationId, WriteHandler> m_writes;
  std::map<BatchItemId, ItemHandler> m_items;
};

}  // namespace filbertspar
