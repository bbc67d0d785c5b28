#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "filbertspar/burn/src/account.h"
#include "filbertspar/burn/src/budget.h"

namespace filbertspar::internal {

/// \brief Text with the characters escaped that HTML gives a meaning.
std::string Escaped(std::string_view text);

/// \brief SVG plot of the burn rate over time on a logarithmic axis, with the
/// rules' thresholds and the spans of their alerts.
std::string BurnPlot(const ObjectiveReport& report);

/// \brief SVG plot of bad requests per hour, stacked by cause.
std::string CausePlot(const ObjectiveReport& report);

/// \brief SVG bars of the shares that each team was owed and received.
std::string SharePlot(const std::vector<ShareHour>& teams);

}  // namespace filbertspar::internal
