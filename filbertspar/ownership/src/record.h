#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "filbertspar/base/base.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

/// \brief Value of the owner's row. Each write of the owner rewrites it, so
/// that its version fences off every earlier owner.
struct OwnerRecord {
  VmName m_vm;
  /// Chosen at random by each process at its start.
  std::uint64_t m_incarnation = 0;
  /// Where the owner accepts links.
  Endpoint m_link;
  /// Number of take-overs; the fencing number of the owner's orders.
  FencingNumber m_epoch;
  /// Secret of the owner's links, known to whoever may read the store.
  std::string m_link_secret;
  /// Number of the owner's last write, by which a lost answer is settled.
  std::uint64_t m_write_number = 0;
  /// Processor of the strongest VM that the holder knows to be at work, its
  /// own included.
  Millicores m_strongest_cpu;
  /// Whether the stored progress lists every run that was ordered, by the
  /// holder or before it.
  bool m_all_starts_recorded = false;
  /// Given up by its holder.
  bool m_released = false;

  friend bool operator==(const OwnerRecord&, const OwnerRecord&) = default;
};

std::string EncodeOwner(const OwnerRecord& record);

/// \brief kBadField when the text is no owner's record.
absl::StatusOr<OwnerRecord> DecodeOwner(std::string_view text);

}  // namespace filbertspar
