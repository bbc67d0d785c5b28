#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "filbertspar/catalogue/catalogue.h"

namespace filbertspar {

/// \brief Blackouts of all entries of a pool that are not withdrawn.
std::vector<Blackout> BlackoutsOf(const Catalogue& catalogue,
                                  const PoolName& pool);

/// \brief End of a blackout that meets [from, from + length), if there is one.
/// Times are milliseconds of UTC since 1970. A span whose end is not after its
/// start reaches into the next day; its days are those on which it starts.
std::optional<std::int64_t> BlackoutEnd(const std::vector<Blackout>& blackouts,
                                        std::int64_t from_ms,
                                        std::int64_t length_ms);

/// \brief First time from `from_ms` on at which `length_ms` fits between the
/// blackouts; nothing when there is none within 62 days.
std::optional<std::int64_t> NextOpen(const std::vector<Blackout>& blackouts,
                                     std::int64_t from_ms,
                                     std::int64_t length_ms);

}  // namespace filbertspar
