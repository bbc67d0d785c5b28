#include "filbertspar/node/src/incarnation.h"

#include <cstddef>
#include <utility>

#include "filbertspar/node/src/clock.h"
#include "platform/platform.h"

namespace filbertspar {

PeerId PeerOf(std::int64_t incarnation) {
  return PeerId(static_cast<std::uint64_t>(incarnation));
}

std::optional<PeerId> IdentifyWorker(const HttpResponse& response) {
  const auto incarnation = adapter::DecodeIncarnation(response);
  return incarnation ? std::optional(PeerOf(*incarnation)) : std::nullopt;
}

asio::awaitable<Introduction> Introduce(HttpClient& client, WorkerTarget target,
                                        Duration timeout) {
  PollOrder order;
  order.m_fencing = target.m_fencing;
  CallOptions options;
  options.m_timeout = timeout;
  options.m_connection = ConnectionChoice::kNew;
  options.m_identify = IdentifyWorker;
  Introduction introduction;
  introduction.m_sent_at = BootNow();
  HttpRequest request = adapter::MakePollRequest(target.m_name, order);
  introduction.m_result = co_await client.Call(
      target.m_endpoint, std::move(request), std::move(options));
  std::size_t invalid_count = 0;
  introduction.m_status =
      adapter::DecodeWorkerStatus(introduction.m_result, invalid_count);
  co_return introduction;
}

}  // namespace filbertspar
