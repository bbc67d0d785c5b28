#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "filbertspar/platform/platform.h"

namespace filbertspar::testing {

/// \brief The platform's table in memory, without faults.
struct FakeTable {
  std::map<RowKey, Row> m_rows;
  /// Versions written by each attempt that took effect.
  std::map<std::string, std::vector<RowVersion>> m_applied;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
};

inline Row ReadRow(const FakeTable& table, const RowKey& key) {
  const auto found = table.m_rows.find(key);
  if (found == table.m_rows.end() || !found->second.m_value) {
    return Row{.m_row = key};
  }
  return found->second;
}

inline ChangeList ReadChanges(const FakeTable& table, const std::string& name,
                              std::uint64_t since) {
  ChangeList changes{.m_table = name};
  changes.m_sequence = since;
  for (const auto& [key, row] : table.m_rows) {
    if (key.m_table == name && row.m_sequence > since) {
      changes.m_rows.push_back(row);
      changes.m_sequence = std::max(changes.m_sequence, row.m_sequence);
    }
  }
  return changes;
}

/// \brief Conflicts of a write, empty when it took effect (now or before).
inline std::vector<RowConflict> WriteRows(FakeTable& table,
                                          const WriteBody& write,
                                          std::vector<RowVersion>* versions) {
  const auto before = table.m_applied.find(write.m_attempt);
  if (before != table.m_applied.end()) {
    *versions = before->second;
    return {};
  }
  std::vector<RowConflict> conflicts;
  for (const RowWrite& row : write.m_rows) {
    const Row current = ReadRow(table, row.m_row);
    if (current.m_version != row.m_expect) {
      conflicts.push_back({row.m_row, current.m_version, current.m_attempt});
    }
  }
  if (!conflicts.empty()) {
    return conflicts;
  }
  for (const RowWrite& row : write.m_rows) {
    Row& stored = table.m_rows[row.m_row];
    stored.m_row = row.m_row;
    stored.m_version = RowVersion(stored.m_version.Value() + 1);
    stored.m_attempt = write.m_attempt;
    stored.m_sequence = ++table.m_sequence;
    stored.m_value = row.m_value;
    versions->push_back(stored.m_version);
  }
  table.m_applied[write.m_attempt] = *versions;
  return {};
}

/// \brief Status and body, as the platform answers.
inline std::pair<int, std::string> Serve(FakeTable& table,
                                         const PlatformRequest& request) {
  if (request.m_method == "POST") {
    ++table.m_writes;
    const absl::StatusOr<WriteBody> write = DecodeWrite(request.m_body);
    if (!write.ok()) {
      return {400, "{}"};
    }
    std::vector<RowVersion> versions;
    const auto conflicts = WriteRows(table, *write, &versions);
    return conflicts.empty()
               ? std::pair<int, std::string>(200, EncodeVersions(versions))
               : std::pair<int, std::string>(409, EncodeConflicts(conflicts));
  }
  ++table.m_reads;
  const absl::StatusOr<PlatformCall> call = DecodeCall(request);
  if (!call.ok()) {
    return {404, "{}"};
  }
  if (const auto* row = std::get_if<RowQuery>(&*call)) {
    const Row found = ReadRow(table, row->m_row);
    return {found.m_version.IsNone() ? 404 : 200, EncodeRow(found)};
  }
  if (const auto* changes = std::get_if<ChangesQuery>(&*call)) {
    return {200, EncodeChanges(
                     ReadChanges(table, changes->m_table, changes->m_since))};
  }
  return {200, EncodeVms({})};
}

/// \brief Faults of the network between a client and the table.
struct NetworkFaults {
  double m_lose_request = 0;
  double m_lose_answer = 0;
  /// Request not sent at all, and the sender knows.
  double m_not_sent = 0;
  double m_duplicate = 0;
  Duration m_min_delay = Milliseconds(1);
  Duration m_max_delay = Milliseconds(3);
  /// Share of packets that take up to ten seconds.
  double m_very_late = 0;
};

/// \brief Network in virtual time; packets overtake each other.
struct FakeNetwork {
  struct Packet {
    TimePoint m_at;
    std::uint64_t m_order = 0;
    TransmissionId m_transmission;
    bool m_is_answer = false;
    PlatformRequest m_request;
    TransmissionReport m_report;
  };
  struct Later {
    bool operator()(const Packet& a, const Packet& b) const {
      return std::pair(a.m_at, a.m_order) > std::pair(b.m_at, b.m_order);
    }
  };
  NetworkFaults m_faults;
  Rng m_rng{1};
  std::uint64_t m_order = 0;
  /// Nothing passes while this is set.
  bool m_cut = false;
  std::priority_queue<Packet, std::vector<Packet>, Later> m_packets;
};

inline Duration Delay(FakeNetwork& network) {
  if (network.m_rng.Chance(network.m_faults.m_very_late)) {
    return Milliseconds(static_cast<std::int64_t>(network.m_rng.Below(10'000)));
  }
  const Duration spread =
      network.m_faults.m_max_delay - network.m_faults.m_min_delay;
  return network.m_faults.m_min_delay +
         Duration(static_cast<std::int64_t>(network.m_rng.Below(
             static_cast<std::uint64_t>(spread.count()) + 1)));
}

inline void Put(FakeNetwork& network, FakeNetwork::Packet packet,
                TimePoint now) {
  packet.m_at = now + Delay(network);
  packet.m_order = ++network.m_order;
  network.m_packets.push(std::move(packet));
}

inline void Carry(FakeNetwork& network, TimePoint now,
                  const Transmit& transmit) {
  FakeNetwork::Packet packet{.m_at = now,
                             .m_order = 0,
                             .m_transmission = transmit.m_transmission,
                             .m_is_answer = false,
                             .m_request = transmit.m_request,
                             .m_report = {}};
  if (network.m_rng.Chance(network.m_faults.m_not_sent)) {
    packet.m_is_answer = true;
    packet.m_report.m_transmission = transmit.m_transmission;
    packet.m_report.m_end = TransmissionReport::End::kNotSent;
    Put(network, packet, now);
    return;
  }
  if (network.m_cut || network.m_rng.Chance(network.m_faults.m_lose_request)) {
    return;
  }
  if (network.m_rng.Chance(network.m_faults.m_duplicate)) {
    Put(network, packet, now);
  }
  Put(network, packet, now);
}

/// \brief Carries out effects: sends what is to be sent, returns the reports.
inline PlatformEffects Carry(FakeNetwork& network, TimePoint now,
                             PlatformEffects effects) {
  PlatformEffects reports;
  for (PlatformEffect& effect : effects) {
    if (const auto* transmit = std::get_if<Transmit>(&effect)) {
      Carry(network, now, *transmit);
    } else {
      reports.push_back(std::move(effect));
    }
  }
  return reports;
}

/// \brief Runs client, network and table until `end`; returns the reports.
inline PlatformEffects Run(FakeNetwork& network, FakeTable& table,
                           PlatformClient& client, TimePoint& now,
                           TimePoint end) {
  PlatformEffects reports;
  const auto keep = [&](PlatformEffects effects) {
    for (PlatformEffect& report : Carry(network, now, std::move(effects))) {
      reports.push_back(std::move(report));
    }
  };
  while (true) {
    const TimePoint tick = NextTick(client, now);
    const TimePoint packet = network.m_packets.empty()
                                 ? TimePoint::max()
                                 : network.m_packets.top().m_at;
    if (std::min(tick, packet) > end) {
      now = end;
      return reports;
    }
    now = std::max(now, std::min(tick, packet));
    PlatformEffects effects;
    if (packet <= tick) {
      FakeNetwork::Packet top = network.m_packets.top();
      network.m_packets.pop();
      if (top.m_is_answer) {
        TransmissionEnded(client, now, top.m_report, effects);
      } else if (!network.m_cut) {
        auto [status, body] = Serve(table, top.m_request);
        top.m_is_answer = true;
        top.m_report = {top.m_transmission, TransmissionReport::End::kAnswered,
                        status, std::move(body)};
        if (!network.m_rng.Chance(network.m_faults.m_lose_answer)) {
          Put(network, top, now);
        }
      }
    } else {
      Tick(client, now, effects);
    }
    keep(std::move(effects));
  }
}

}  // namespace filbertspar::testing
