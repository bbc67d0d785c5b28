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

/// \brief Suspends the coroutine for a time.
asio::awaitable<void> SleepFor(Duration duration);

/// \brief Lets coroutines wait for a notification or a time.
class Signal {
 public:
  explicit Signal(asio::io_context& context) : m_context(context) {}
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;

  /// \brief Wakes all that wait now.
  void Notify();

  /// \brief Returns after a notification, or after the time.
  asio::awaitable<void> WaitFor(Duration duration);

 private:
  asio::io_context& m_context;
  std::set<asio::steady_timer*> m_waiting;
};

}  // namespace filbertspar
