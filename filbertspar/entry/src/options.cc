#include "filbertspar/entry/src/options.h"

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_split.h"

namespace filbertspar {
namespace {

/// One "NAME/ZONE/IP:PORT".
std::optional<ListedVm> ParsePeer(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, '/');
  if (parts.size() != 3 || parts[0].empty()) {
    return std::nullopt;
  }
  const std::optional<Endpoint> endpoint = ParseEndpoint(parts[2]);
  if (!endpoint) {
    return std::nullopt;
  }
  return ListedVm{VmName(parts[0]), ZoneName(parts[1]), *endpoint};
}

std::vector<ListedVm> ReadPeers(Settings& settings) {
  std::vector<ListedVm> peers;
  for (const std::string& item : settings.GetList("entry.peers")) {
    const std::optional<ListedVm> peer = ParsePeer(item);
    if (!peer) {
      settings.Reject("entry.peers", "NAME/ZONE/IP:PORT, ...");
      return {};
    }
    peers.push_back(*peer);
  }
  return peers;
}

}  // namespace

absl::StatusOr<EntryOptions> ReadEntryOptions(Settings& settings) {
  EntryOptions options;
  options.m_name = VmName(settings.GetText("entry.name"));
  options.m_zone = ZoneName(settings.GetText("entry.zone"));
  options.m_region = RegionName(settings.GetText("entry.region", "region"));
  options.m_caller_listen = settings.GetEndpoint("entry.caller_listen");
  options.m_admin_listen = settings.GetEndpoint("entry.admin_listen");
  options.m_peer_listen = settings.GetOptionalEndpoint("entry.peer_listen");
  options.m_platform = settings.GetEndpoint("entry.platform");
  options.m_listed_peers = ReadPeers(settings);
  options.m_peer_key_file = settings.GetText("entry.peer_key_file", "");
  options.m_bootstrap_operator_hash =
      settings.GetText("entry.bootstrap_operator_hash", "");
  options.m_max_requests =
      settings.GetInt("entry.max_requests", 20'000, 1, 1'000'000);
  options.m_max_body_bytes =
      settings.GetInt("entry.max_body_bytes", 1 << 20, 1024, 64 << 20);
  options.m_read_time = settings.GetMilliseconds(
      "entry.read_time_ms", Seconds(10), Milliseconds(100), Seconds(600));
  options.m_poll_period = settings.GetMilliseconds(
      "entry.poll_period_ms", Seconds(1), Milliseconds(50), Seconds(8));
  options.m_stop_bound = settings.GetMilliseconds(
      "entry.stop_bound_ms", Seconds(60), Milliseconds(100), Seconds(3600));
  options.m_task_lease = settings.GetMilliseconds(
      "entry.task_lease_ms", Seconds(10), Seconds(1), Seconds(10));
  if (options.m_peer_listen && options.m_peer_key_file.empty()) {
    settings.Reject("entry.peer_key_file",
                    "a key file, since peer_listen is set");
  }
  if (absl::Status status = settings.Finish(); !status.ok()) {
    return status;
  }
  return options;
}

}  // namespace filbertspar
