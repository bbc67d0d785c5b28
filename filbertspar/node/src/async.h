#pragma once

#include <set>

#include "boost/asio/as_tuple.hpp"
#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/this_coro.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "filbertspar/base/base.h"

namespace filbertspar {

namespace asio = boost::asio;

inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// \brief Suspends the calling coroutine for `duration`.
asio::awaitable<void> SleepFor(Duration duration);

/// \brief Lets coroutines wait for a notification with a timeout. Notifications
/// are not stored: only coroutines that already wait are woken.
class Signal {
 public:
  explicit Signal(asio::io_context& context) : m_context(context) {}
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;

  /// \brief Wakes all coroutines that wait now.
  void Notify();

  /// \brief Returns after the next notification, or after `duration`.
  asio::awaitable<void> WaitFor(Duration duration);

 private:
  asio::io_context& m_context;
  std::set<asio::steady_timer*> m_waiting;
};

}  // namespace filbertspar
