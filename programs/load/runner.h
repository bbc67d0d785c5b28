#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "filbertspar/http/http.h"
#include "programs/load/recorder.h"
#include "programs/load/scenario.h"

namespace filbertspar::load {

/// \brief Offers a scenario and records each call.
class Runner {
 public:
  Runner(asio::io_context& context, const Scenario& scenario,
         Recorder& recorder);

  /// \brief Starts all streams; the context runs until every call has ended
  /// or the drain time is over.
  void Start();

  /// \brief Time from the first call to the end of the last.
  Duration Elapsed() const { return m_last_end - m_started; }

 private:
  struct OpenCall {
    std::size_t m_stream = 0;
    std::string m_id;
    Endpoint m_target;
  };

  asio::awaitable<void> OfferOpen(std::size_t stream);
  asio::awaitable<void> OfferClosed(std::size_t stream);
  asio::awaitable<void> CancelWave(std::size_t stream);
  asio::awaitable<void> GuardEnd();
  asio::awaitable<void> OneCall(std::size_t stream, std::string request_key);
  HttpRequest BuildRequest(const Stream& stream, const CallRecord& call,
                           const std::string& body) const;
  void ReadAnswer(const CallResult& result, const std::string& body,
                  CallRecord& call) const;
  asio::awaitable<void> Pause(Duration duration);
  Duration SinceStart() const { return SteadyNow() - m_started; }

  asio::io_context& m_context;
  const Scenario& m_scenario;
  Recorder& m_recorder;
  HttpClient m_client;
  Rng m_rng;
  TimePoint m_started;
  TimePoint m_last_end;
  std::uint64_t m_next_call = 0;
  std::size_t m_offering = 0;
  /// Prefix of request ids of this run; unique per start.
  std::string m_run;
  std::map<std::uint64_t, OpenCall> m_open;
};

}  // namespace filbertspar::load
