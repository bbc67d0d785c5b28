#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Why a connection of a client was closed, or its request refused.
enum class ClientFault : std::uint8_t {
  /// The head, a chunk header or the trailers exceed the buffer.
  kHeadTooLarge,
  kBodyTooLarge,
  kUnreadable,
  /// The request was not complete in time, or came below the least rate.
  kTooSlow,
  /// The answer was not read in time.
  kAnswerNotRead,
  /// All connections together held too much memory.
  kMemoryPressure,
  /// No connection was free for a new client.
  kTooManyConnections,
};

/// \brief Text of a fault in logs and metrics.
std::string_view ClientFaultName(ClientFault fault);

/// \brief What one connection holds and how it has moved.
struct ConnectionUse {
  /// Remote address without the port.
  std::string m_address;
  /// Estimated memory of the request that is being read.
  std::size_t m_held_bytes = 0;
  /// Bytes read since the request began.
  std::size_t m_received_bytes = 0;
  TimePoint m_request_began_at{};
  TimePoint m_last_progress_at{};
  /// A request is being read.
  bool m_is_reading = false;
  /// A request was read whole and is being answered.
  bool m_is_busy = false;
  /// Cancels what the connection waits for.
  std::function<void(ClientFault)> m_cancel;
};

/// \brief Bounds the memory of requests that are being read on all connections
/// of the process's servers. Limits clients that send half requests over many
/// connections.
class ConnectionUses {
 public:
  /// \brief Bounds the bytes held by all requests that are being read.
  explicit ConnectionUses(std::size_t max_held_bytes)
      : m_max_held_bytes(max_held_bytes) {}

  void Add(ConnectionUse& use) { m_uses.insert(&use); }
  void Remove(ConnectionUse& use);
  void SetHeld(ConnectionUse& use, std::size_t bytes);

  std::size_t HeldBytes() const { return m_held_bytes; }
  bool IsOverBudget() const { return m_held_bytes > m_max_held_bytes; }

  /// \brief The connection to close while over the budget: the one that holds
  /// most, of several the one that received least; null when none is reading.
  ConnectionUse* LargestReading() const;

 private:
  std::size_t m_max_held_bytes;
  std::size_t m_held_bytes = 0;
  std::set<ConnectionUse*> m_uses;
};

/// \brief The connection to close when a new client finds none free: idle since
/// the longest, of the address with the most connections; null when none is
/// idle. Limits clients that hold connections without using them.
ConnectionUse* ChooseIdle(const std::vector<ConnectionUse*>& uses);

/// \brief The connection to close when none is idle: the one whose request has
/// been arriving for longest, if it began before `latest`; else null.
ConnectionUse* ChooseReading(const std::vector<ConnectionUse*>& uses,
                             TimePoint latest);

/// \brief Bounds on the time in which a request must arrive.
struct RequestPace {
  /// From the first byte of a request to its last.
  Duration m_read_time{0};
  /// Least mean rate, in bytes a second, once m_grace has passed.
  double m_min_bytes_per_s = 0;
  Duration m_grace{0};
};

/// \brief Whether the request that is being read is later than the pace allows.
bool IsTooSlow(const RequestPace& pace, const ConnectionUse& use,
               TimePoint now);

}  // namespace filbertspar
