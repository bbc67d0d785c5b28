#include "filbertspar/node/src/async.h"

namespace filbertspar {

asio::awaitable<void> SleepFor(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(kAsTuple);
}

void Signal::Notify() {
  for (asio::steady_timer* timer : m_waiting) {
    timer->cancel();
  }
}

asio::awaitable<void> Signal::WaitFor(Duration duration) {
  asio::steady_timer timer(m_context, duration);
  m_waiting.insert(&timer);
  co_await timer.async_wait(kAsTuple);
  m_waiting.erase(&timer);
}

}  // namespace filbertspar
