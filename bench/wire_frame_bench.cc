#include <chrono>
#include <cstdio>
#include <string>

#include "filbertspar/wire/wire.h"

namespace filbertspar {
namespace {

constexpr int kRounds = 200000;

template <typename Work>
double NanosecondsEach(Work work) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    work(i);
  }
  const std::chrono::duration<double, std::nano> spent =
      std::chrono::steady_clock::now() - start;
  return spent.count() / kRounds;
}

void Print(const char* name, double figure, const char* unit, double baseline) {
  std::printf("%s figure=%.1f unit=%s baseline=%.1f ratio=%.3f seed=0\n", name,
              figure, unit, baseline, figure / baseline);
}

/// The baseline of each time is one HMAC over the same bytes, which no
/// authenticated frame can avoid.
void Run() {
  const auto secrets =
      std::make_shared<Secrets>(Secrets{std::string(32, 's'), std::nullopt});
  Heartbeat heartbeat;
  heartbeat.m_node = NodeName("entry-012#1733289139");
  heartbeat.m_incarnation = 1733289139;
  heartbeat.m_config_version = ConfigVersion(1400);
  heartbeat.m_reaches_store = true;
  const Envelope envelope{0x1234567890abcdef, 77, heartbeat};
  const std::string frame = *EncodeFrame(envelope, *secrets);
  std::size_t sink = 0;
  const double mac = NanosecondsEach(
      [&](int /*i*/) { sink += ComputeMac(secrets->m_current, frame)[0]; });
  const double encode = NanosecondsEach(
      [&](int /*i*/) { sink += EncodeFrame(envelope, *secrets)->size(); });
  FrameDecoder decoder(secrets);
  std::vector<Envelope> out;
  const double decode = NanosecondsEach([&](int /*i*/) {
    out.clear();
    sink += decoder.Feed(frame, out).ok() ? out.size() : 0;
  });
  Print("wire_heartbeat_bytes", static_cast<double>(frame.size()), "B",
        kFrameHeaderBytes);
  Print("wire_heartbeat_encode", encode, "ns", mac);
  Print("wire_heartbeat_decode", decode, "ns", mac);
  if (sink == 0) {
    std::printf("wire: nothing was measured.\n");
  }
}

}  // namespace
}  // namespace filbertspar

int main() { filbertspar::Run(); }
