#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/read.hpp"
#include "boost/asio/write.hpp"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/link_client.h"
#include "filbertspar/node/src/link_server.h"

namespace filbertspar {
namespace {

using tcp = asio::ip::tcp;

// Guards against a call that reaches the owner after its sender closed the link
// and was refused on another one.
TEST_CASE("a link that is closed delivers nothing more") {
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  EventLog log(context, EventLogLimits(), STDERR_FILENO);
  MetricsBook metrics;
  TrafficMeter traffic(metrics, 1000);
  LinkClient link(context, log, traffic, Hello(),
                  [](RelayedStart) -> asio::awaitable<RelayedStartReply> {
                    co_return RelayedStartReply();
                  });
  OwnerRecord owner;
  owner.m_vm = VmName("owner");
  owner.m_link = {"127.0.0.1", acceptor.local_endpoint().port()};
  owner.m_link_secret = std::string(32, 's');
  link.SetOwner(owner);
  tcp::socket server(context);
  acceptor.async_accept(server, [&link](boost::system::error_code) {
    link.SetOwner(std::nullopt);
  });
  context.run_for(std::chrono::seconds(5));
  std::string read(4096, ' ');
  boost::system::error_code error;
  asio::read(server, asio::buffer(read), error);
  CHECK(error == asio::error::connection_reset);
}

// Guards against a relayed start that goes to a VM which says no more that it
// relays to one incarnation, or over the link of its former process.
TEST_CASE("what a VM said before it started again does not count") {
  asio::io_context context;
  EventLog log(context, EventLogLimits(), STDERR_FILENO);
  MetricsBook metrics;
  TrafficMeter traffic(metrics, 1000);
  const VmName vm("relay");
  const std::string secret(32, 's');
  Hello owner;
  owner.m_node = MakeNodeName(VmName("owner"), 1);
  LinkServer server(context, log, traffic, owner, secret);
  tcp::endpoint address(asio::ip::make_address("127.0.0.1"), 0);
  for (int attempt = 0; attempt < 10; ++attempt) {
    tcp::acceptor finder(context, address);
    address.port(finder.local_endpoint().port());
    finder.close();
    if (server.Listen({"127.0.0.1", address.port()}).ok()) {
      break;
    }
    address.port(0);
  }
  server.SetHandler(
      [](const VmName&, JobCall) -> asio::awaitable<JobReply> {
        co_return JobReply();
      },
      [] { return true; });
  const Secrets secrets{secret, std::nullopt};
  const auto run_until = [&](const auto& is_met) {
    for (const TimePoint end = BootNow() + Seconds(5);
         !is_met() && BootNow() < end;) {
      context.run_one_for(std::chrono::milliseconds(100));
    }
    return is_met();
  };
  struct Process {
    tcp::socket m_socket;
    Session m_session;
  };
  const auto connect = [&](std::uint64_t incarnation) {
    Hello hello;
    hello.m_node = MakeNodeName(vm, incarnation);
    hello.m_nonce = incarnation;
    auto process = std::make_unique<Process>(
        Process{tcp::socket(context), Session(hello, /*initiator=*/true)});
    process->m_socket.connect(address);
    asio::write(
        process->m_socket,
        asio::buffer(*EncodeFrame(process->m_session.WrapHello(), secrets)));
    return process;
  };
  const auto finish_hello = [&](Process& process) {
    REQUIRE(run_until([&] { return process.m_socket.available() > 0; }));
    std::string bytes(process.m_socket.available(), ' ');
    asio::read(process.m_socket, asio::buffer(bytes));
    FrameDecoder decoder(std::make_shared<const Secrets>(secrets));
    std::vector<Envelope> envelopes;
    REQUIRE(decoder.Feed(bytes, envelopes).ok());
    REQUIRE(envelopes.size() == 1);
    REQUIRE(process.m_session.Accept(envelopes.front()).ok());
  };
  const auto send_ping = [&](Process& process, const LinkPing& ping) {
    asio::write(process.m_socket, asio::buffer(*EncodeFrame(
                                      process.m_session.Wrap(ping), secrets)));
  };
  const auto former = connect(1);
  finish_hello(*former);
  LinkPing ping;
  ping.m_number = 1;
  ping.m_willing = true;
  ping.m_relays_to_incarnation = true;
  ping.m_store_age = Seconds(9);
  ping.m_cpu_capacity = Millicores(4000);
  send_ping(*former, ping);
  REQUIRE(run_until([&] { return server.CanRelay(vm); }));

  // Another link of the same process says nothing before its first ping.
  ping.m_number = 2;
  ping.m_stated_ms = MsFromTime(BootNow()) - 700;
  send_ping(*former, ping);
  REQUIRE(run_until([&] {
    return server.Statements().front().m_stated_at != TimePoint::min();
  }));
  const TimePoint stated_at = server.Statements().front().m_stated_at;
  const auto again = connect(1);
  finish_hello(*again);
  CHECK(server.Statements().front().m_stated_at == stated_at);
  CHECK(stated_at < BootNow() - Milliseconds(600));

  const auto next = connect(2);
  finish_hello(*next);
  CHECK_FALSE(server.CanRelay(vm));
  const LinkPeer& peer = server.Peers().at(vm);
  CHECK(peer.m_connected);
  CHECK(peer.m_store_age == Duration(0));
  CHECK(peer.m_cpu_capacity == Millicores(0));
  CHECK(peer.m_stated_at == TimePoint::min());
  send_ping(*next, LinkPing());
  former->m_socket.non_blocking(true);
  CHECK(run_until([&] {
    boost::system::error_code error;
    std::string rest(4096, ' ');
    former->m_socket.read_some(asio::buffer(rest), error);
    return error == asio::error::eof;
  }));
  CHECK(peer.m_connected);
}

Duration DrawMs(std::mt19937& random, int min, int max) {
  return Milliseconds(std::uniform_int_distribution<int>(min, max)(random));
}

// Guards against the reply to a call that timed out, was sent over a link that
// has closed, or to an earlier owner, that is taken for that of a later call.
TEST_CASE("over changing links each reply is that of its call") {
  constexpr std::uint8_t kOwners = 2;
  constexpr int kCallers = 8;
  constexpr int kCalls = 60;
  asio::io_context context;
  std::mt19937 random(1);
  EventLog log(context, EventLogLimits(), STDERR_FILENO);
  MetricsBook metrics;
  TrafficMeter traffic(metrics, 1000);
  const std::string secret(32, 's');
  const auto hello_of = [](const std::string& vm) {
    Hello hello;
    hello.m_node = MakeNodeName(VmName(vm), 1);
    return hello;
  };
  std::vector<std::unique_ptr<LinkServer>> servers(kOwners);
  std::vector<OwnerRecord> owners(kOwners);
  for (std::uint8_t i = 0; i < kOwners; ++i) {
    const std::string vm = "owner-" + std::to_string(i);
    owners[i].m_vm = VmName(vm);
    owners[i].m_link_secret = secret;
    // Another process may take the port that was free a moment ago.
    for (int attempt = 0; attempt < 10; ++attempt) {
      tcp::acceptor finder(
          context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      owners[i].m_link = {"127.0.0.1", finder.local_endpoint().port()};
      finder.close();
      servers[i] = std::make_unique<LinkServer>(context, log, traffic,
                                                hello_of(vm), secret);
      if (servers[i]->Listen(owners[i].m_link).ok()) {
        break;
      }
    }
  }
  LinkClient link(context, log, traffic, hello_of("caller"),
                  [](RelayedStart) -> asio::awaitable<RelayedStartReply> {
                    co_return RelayedStartReply();
                  });
  const auto answer = [&](std::uint8_t owner,
                          JobCall call) -> asio::awaitable<JobReply> {
    const Duration delay = DrawMs(random, 0, 8);
    co_await SleepFor(delay);
    JobReply reply;
    reply.m_state = owner;
    reply.m_count = std::stoi(call.m_job);
    co_return reply;
  };
  const auto serve = [&](std::uint8_t owner) {
    servers[owner]->SetHandler(
        [&answer, owner](const VmName&, JobCall call) {
          return answer(owner, std::move(call));
        },
        [] { return true; });
  };
  std::uint8_t current = 0;
  int done = 0;
  const auto change_owner = [&]() -> asio::awaitable<void> {
    std::uint64_t incarnation = 0;
    while (done < kCallers) {
      // The earlier owner goes on; its replies are late.
      current = static_cast<std::uint8_t>(random() % kOwners);
      OwnerRecord owner = owners[current];
      owner.m_incarnation = ++incarnation;
      if (random() % 2 == 0) {
        servers[current]->Disable();
      }
      serve(current);
      link.SetOwner(owner);
      const Duration term = DrawMs(random, 5, 40);
      co_await SleepFor(term);
    }
    link.SetOwner(std::nullopt);
    context.stop();
  };
  int answered = 0;
  int given_up = 0;
  int wrong = 0;
  const auto call = [&](int caller) -> asio::awaitable<void> {
    for (int i = 0; i < kCalls;) {
      if (!link.IsReady()) {
        co_await SleepFor(Milliseconds(1));
        continue;
      }
      const int number = caller * kCalls + i++;
      const std::uint8_t owner = current;
      JobCall job_call;
      job_call.m_job = std::to_string(number);
      const Duration wait = DrawMs(random, 1, 8);
      const LinkClient::Result result =
          co_await link.Call(std::move(job_call), BootNow(), wait);
      if (result.m_reply) {
        ++answered;
        wrong += result.m_reply->m_count == number &&
                         result.m_reply->m_state == owner
                     ? 0
                     : 1;
      } else {
        ++given_up;
      }
    }
    ++done;
  };
  asio::co_spawn(context, change_owner(), asio::detached);
  for (int caller = 0; caller < kCallers; ++caller) {
    asio::co_spawn(context, call(caller), asio::detached);
  }
  context.run_for(std::chrono::seconds(20));
  REQUIRE(done == kCallers);
  CHECK(wrong == 0);
  CHECK(answered > 0);
  CHECK(given_up > 0);
}

}  // namespace
}  // namespace filbertspar
