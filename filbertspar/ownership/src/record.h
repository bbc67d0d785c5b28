#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "filbertspar/base/base.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

/// \brief Fencing numbers of a term. The owner's calls to a worker carry a
/// higher one after a call to it without a response.
inline constexpr std::uint64_t kFencingNumbersPerTerm = 1'000'000;

/// \brief Value of the owner row in the store. Every write of the owner updates
/// it on condition of its version, which fences off all previous owners.
struct OwnerRecord {
  VmName m_vm;
  /// Random number that each process chooses at its start.
  std::uint64_t m_incarnation = 0;
  /// Address on which the owner accepts links of other VMs.
  Endpoint m_link;
  /// The highest fencing number of the owner's orders; each claim raises it by
  /// kFencingNumbersPerTerm. Owners of earlier releases raise it by 1 and use
  /// it for all orders.
  FencingNumber m_epoch;
  /// Secret that authenticates links to the owner; readable by everyone with
  /// access to the store.
  std::string m_link_secret;
  /// Number of the owner's last write. After a write without an answer it shows
  /// whether the write took effect.
  std::uint64_t m_write_number = 0;
  /// Largest CPU capacity among the VMs that the owner knows to be running,
  /// including its own; 0 in records of releases that did not state it.
  Millicores m_strongest_cpu;
  /// Whether the stored progress contains every run that this owner or a
  /// previous one started.
  bool m_all_starts_recorded = false;
  /// Whether no previous owner can send orders any more. Stated by a row of its
  /// own, since earlier releases accept no further field in this one.
  bool m_is_sole = false;
  /// Whether the owner has given up the ownership.
  bool m_released = false;

  friend bool operator==(const OwnerRecord&, const OwnerRecord&) = default;
};

/// \brief Highest fencing number of the term that follows one with `previous`,
/// which is none before the first.
FencingNumber NextEpoch(FencingNumber previous);

/// \brief Lowest fencing number of the term.
FencingNumber FirstFencingNumber(FencingNumber epoch);

/// \brief JSON text of the record, for its row.
std::string EncodeOwner(const OwnerRecord& record);

/// \brief JSON text of the row which states that no owner before the term can
/// send orders any more.
std::string EncodeSoleTerm(FencingNumber epoch);

/// \brief The term that the row is about; none if it is not readable.
FencingNumber DecodeSoleTerm(std::string_view text);

/// \brief Returns kBadField unless the text is a valid owner record.
absl::StatusOr<OwnerRecord> DecodeOwner(std::string_view text);

}  // namespace filbertspar
