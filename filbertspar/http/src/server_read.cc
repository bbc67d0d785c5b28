#include <algorithm>

#include "boost/beast/http/error.hpp"
#include "filbertspar/http/src/server_state.h"

namespace filbertspar {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kBodyReadBytes = 16U << 10U;
/// The shortest field of a head has 4 bytes and takes about 64 in memory.
constexpr std::size_t kBytesPerHeadByte = 16;

}  // namespace

boost::system::error_code HttpServer::State::Parse(Connection& connection,
                                                   beast::flat_buffer& buffer,
                                                   Parser& parser) const {
  boost::system::error_code error;
  const bool was_in_head = !parser.is_header_done();
  const std::size_t used = parser.put(buffer.data(), error);
  buffer.consume(used);
  if (was_in_head) {
    connection.m_head_bytes += used;
  }
  if (error && error != http::error::need_more) {
    return error;
  }
  // The parser takes a head field by field and bounds only what is left of it.
  if (!parser.is_header_done() &&
      connection.m_head_bytes + buffer.size() > m_limits.m_header_bytes) {
    return http::error::header_limit;
  }
  // Two hosts could be routed differently by a proxy in front; the second one
  // may be among the trailers.
  if ((was_in_head || parser.is_done()) &&
      parser.get().count(http::field::host) > 1) {
    return http::error::bad_value;
  }
  return error;
}

asio::awaitable<boost::system::error_code> HttpServer::State::Read(
    Connection& connection, beast::flat_buffer& buffer, Parser& parser) {
  ConnectionUse& use = connection.m_use;
  use.m_is_reading = true;
  use.m_request_began_at = SteadyNow();
  use.m_received_bytes = buffer.size();
  connection.m_head_bytes = 0;
  boost::system::error_code error = http::error::need_more;
  while (true) {
    if (buffer.size() > 0) {
      error = Parse(connection, buffer, parser);
    }
    if (parser.is_done() || (error && error != http::error::need_more)) {
      break;
    }
    if (!error && buffer.size() > 0) {
      continue;
    }
    if (!HoldBytes(connection, buffer, parser)) {
      error = asio::error::no_memory;
      break;
    }
    const std::size_t room = buffer.max_size() - buffer.size();
    if (room == 0) {
      error = http::error::buffer_overflow;
      break;
    }
    const std::size_t wanted =
        parser.is_header_done() ? kBodyReadBytes : kFirstReadBytes;
    auto [read_error, bytes] = co_await connection.m_socket.async_read_some(
        buffer.prepare(std::min(wanted, room)), kTuple);
    buffer.commit(bytes);
    use.m_received_bytes += bytes;
    use.m_last_progress_at = SteadyNow();
    if (connection.m_fault) {
      // Also when the cancellation came after the read had succeeded.
      error = asio::error::operation_aborted;
      break;
    }
    if (read_error == asio::error::eof && parser.got_some()) {
      parser.put_eof(error);
      break;
    }
    if (read_error) {
      error = read_error == asio::error::eof ? http::error::end_of_stream
                                             : read_error;
      break;
    }
  }
  EndRead(connection);
  co_return error == http::error::need_more ? boost::system::error_code()
                                            : error;
}

bool HttpServer::State::HoldBytes(Connection& connection,
                                  const beast::flat_buffer& buffer,
                                  const Parser& parser) {
  m_guard.m_uses->SetHeld(connection.m_use,
                          buffer.capacity() + parser.get().body().capacity() +
                              kBytesPerHeadByte * connection.m_head_bytes);
  while (m_guard.m_uses->IsOverBudget()) {
    ConnectionUse* largest = m_guard.m_uses->LargestReading();
    if (largest == nullptr) {
      break;
    }
    largest->m_is_reading = false;
    m_guard.m_uses->SetHeld(*largest, 0);
    largest->m_cancel(ClientFault::kMemoryPressure);
  }
  return !connection.m_fault;
}

void HttpServer::State::EndRead(Connection& connection) const {
  connection.m_use.m_is_reading = false;
  m_guard.m_uses->SetHeld(connection.m_use, 0);
}

}  // namespace filbertspar
