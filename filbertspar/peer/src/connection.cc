#include "filbertspar/peer/src/connection.h"

#include <utility>

#include "boost/asio/buffer.hpp"
#include "boost/asio/ip/address.hpp"
#include "boost/asio/write.hpp"

namespace filbertspar {

using boost::system::error_code;

PeerConnection::PeerConnection(std::uint64_t id, asio::ip::tcp::socket socket,
                               Hello self, bool initiator,
                               std::shared_ptr<const Secrets> secrets,
                               PeerCounters& counters, Handlers handlers)
    : m_id(id),
      m_socket(std::move(socket)),
      m_hello_timer(m_socket.get_executor()),
      m_session(std::move(self), initiator),
      m_initiator(initiator),
      m_secrets(secrets),
      m_decoder(std::move(secrets)),
      m_counters(counters),
      m_handlers(std::move(handlers)),
      m_last_received(SteadyNow()) {}

void PeerConnection::Connect(const Endpoint& endpoint) {
  Accept();
  error_code error;
  const auto address = asio::ip::make_address(endpoint.m_address, error);
  if (error) {
    Fail(false);
    return;
  }
  m_socket.async_connect({address, endpoint.m_port},
                         [self = shared_from_this()](error_code failed) {
                           if (self->m_closed) {
                             return;
                           }
                           if (failed) {
                             self->Fail(false);
                             return;
                           }
                           ++self->m_counters.m_connected;
                           self->Write(self->m_session.WrapHello());
                           self->Read();
                         });
}

void PeerConnection::Accept() {
  m_hello_timer.expires_after(kHelloTimeout);
  m_hello_timer.async_wait([self = shared_from_this()](error_code error) {
    if (!error && !self->m_closed && !self->Peer().has_value()) {
      self->Fail(false);
    }
  });
  if (!m_initiator) {
    Read();
  }
}

void PeerConnection::Read() {
  error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](error_code error, std::size_t size) {
        if (self->m_closed) {
          return;
        }
        if (error) {
          self->Fail(false);
          return;
        }
        self->Received(size);
      });
}

void PeerConnection::Received(std::size_t size) {
  if (!m_mute) {
    std::vector<Envelope> envelopes;
    const absl::Status status =
        m_decoder.Feed({m_buffer.data(), size}, envelopes);
    for (const Envelope& envelope : envelopes) {
      if (!Handle(envelope)) {
        return;
      }
    }
    if (!status.ok()) {
      Fail(true);
      return;
    }
  }
  Read();
}

bool PeerConnection::Handle(const Envelope& envelope) {
  if (!m_session.Accept(envelope).ok()) {
    Fail(true);
    return false;
  }
  m_last_received = SteadyNow();
  if (!std::holds_alternative<Hello>(envelope.m_message)) {
    m_handlers.m_message(*this, envelope.m_message);
    return !m_closed;
  }
  m_hello_timer.cancel();
  if (m_session.CanSendHello()) {
    Write(m_session.WrapHello());
  }
  m_handlers.m_ready(*this);
  return !m_closed;
}

bool PeerConnection::Send(const Message& message) {
  if (!IsReady() || m_queued_bytes > kMaxQueuedBytes) {
    ++m_counters.m_dropped_messages;
    return false;
  }
  // Only a frame that is sent may take a sequence number.
  if (!EncodePayload({0, 0, message}).ok()) {
    ++m_counters.m_dropped_messages;
    return false;
  }
  Write(m_session.Wrap(message));
  return true;
}

void PeerConnection::Write(const Envelope& envelope) {
  absl::StatusOr<std::string> frame = EncodeFrame(envelope, *m_secrets);
  if (!frame.ok()) {
    Fail(false);
    return;
  }
  if (m_mute) {
    return;
  }
  m_queued_bytes += frame->size();
  m_queue.push_back(*std::move(frame));
  if (!m_writing) {
    Flush();
  }
}

void PeerConnection::Flush() {
  if (m_queue.empty()) {
    return;
  }
  m_writing = true;
  asio::async_write(
      m_socket, asio::buffer(m_queue.front()),
      [self = shared_from_this()](error_code error, std::size_t /*size*/) {
        if (self->m_closed) {
          return;
        }
        self->m_writing = false;
        self->m_queued_bytes -= self->m_queue.front().size();
        self->m_queue.pop_front();
        if (error) {
          self->Fail(false);
          return;
        }
        self->Flush();
      });
}

void PeerConnection::Fail(bool refused) {
  if (m_closed) {
    return;
  }
  m_counters.m_refused += refused ? 1 : 0;
  const auto self = shared_from_this();
  Close();
  m_handlers.m_closed(*this);
}

void PeerConnection::Close() {
  m_closed = true;
  m_hello_timer.cancel();
  error_code ignored;
  m_socket.close(ignored);
}

}  // namespace filbertspar
