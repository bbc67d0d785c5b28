#pragma once

#include <functional>
#include <map>
#include <string>

#include "boost/asio/io_context.hpp"
#include "filbertspar/request/request.h"
#include "filbertspar/store/store.h"

namespace filbertspar {

/// \brief Claim rows of non-repeatable requests, one per team and request key.
///
/// Row value: {"node","request","state":"claimed"|"finished","code","body",
/// "time_ms"}.
class Claims {
 public:
  using Handler = std::function<void(const ClaimReport&)>;

  Claims(asio::io_context& context, Store& store, NodeName node)
      : m_context(context), m_store(store), m_node(std::move(node)) {}

  /// \brief Inserts a claim; the handler may be called twice, first with
  /// kUnsettled.
  void Insert(const WriteClaim& claim, Handler handler);
  void Finish(const FinishClaim& claim);
  void Release(const ReleaseClaim& claim);

  /// \brief Claims held by this process whose answer is not yet recorded.
  std::size_t Open() const { return m_versions.size(); }

 private:
  asio::awaitable<void> ReadExisting(RequestId request, RowKey key,
                                     Handler handler);
  void Replace(RowKey key, RowVersion expect, std::optional<Json> value,
               int tries);

  asio::io_context& m_context;
  Store& m_store;
  NodeName m_node;
  std::map<RequestId, RowVersion> m_versions;
};

}  // namespace filbertspar
