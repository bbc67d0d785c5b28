#pragma once

#include <array>
#include <cstdint>
#include <limits>

#include "filbertspar/share/src/share.h"

/// \file
/// \brief Sums of one team's work in one pool, for the sources of this library.

namespace filbertspar::internal {

/// \brief Key of a team that cannot be served now.
inline constexpr double kNeverKey = std::numeric_limits<double>::infinity();

inline ShareCell& CellOf(Share& share, std::size_t pool, std::size_t team) {
  return share.m_cells[pool * share.m_leaves + team];
}

inline const ShareCell& CellOf(const Share& share, std::size_t pool,
                               std::size_t team) {
  return share.m_cells[pool * share.m_leaves + team];
}

std::array<std::int64_t, kResourceKinds> Units(const Resources& size);

/// \brief Counts a size in (`sign` 1) or out (-1).
void Add(Amounts& amounts, const Resources& size, std::int64_t sign);

/// \brief Parts of the pool that the running work takes, here and at peers,
/// and that a task of mean size takes.
Fractions RunningFractions(const SharePool& pool, const ShareCell& cell);
Fractions MeanFractions(const SharePool& pool, const ShareCell& cell);

/// \brief Dominant share received at all processes, and at this one.
double Received(const SharePool& pool, const ShareCell& cell);
double OwnReceived(const SharePool& pool, const ShareCell& cell);

/// \brief Share-seconds by which urgent work may run ahead of a due share, for
/// a part of the urgent work that waits at all processes.
double AdvanceOf(const ShareSettings& settings, const SharePool& pool,
                 const ShareCell& cell, double due, double part);

/// \brief This process's part of all processes.
double PartOf(const Share& share);

/// \brief Adds up what was received until `now`.
void CountReceived(const SharePool& pool, ShareCell& cell, TimePoint now);

}  // namespace filbertspar::internal
