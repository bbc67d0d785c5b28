#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "boost/asio/as_tuple.hpp"
#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"

namespace filbertspar {

/// \brief A value that one coroutine waits for and other code sets once.
template <typename T>
class OneShot {
 public:
  explicit OneShot(boost::asio::io_context& context)
      : m_timer(context, boost::asio::steady_timer::time_point::max()) {}

  void Set(T value) {
    m_value = std::move(value);
    m_timer.cancel();
  }

  bool IsSet() const { return m_value.has_value(); }

  boost::asio::awaitable<T> Wait() {
    while (!m_value) {
      co_await m_timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    co_return std::move(*m_value);
  }

 private:
  boost::asio::steady_timer m_timer;
  std::optional<T> m_value;
};

}  // namespace filbertspar
