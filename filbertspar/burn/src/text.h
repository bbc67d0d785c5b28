#pragma once

#include <string>

#include "filbertspar/burn/src/account.h"
#include "filbertspar/burn/src/budget.h"

namespace filbertspar {

/// \brief The report as text of at most 100 columns.
std::string ReportAsText(const BurnReport& report,
                         const AccountRecord& account);

/// \brief One sentence on the worst hour of an objective: hour, workspace,
/// class and main cause; empty without bad requests.
std::string WorstHourText(const ObjectiveReport& report);

/// \brief "2026-12-04 05:00" of a minute of UTC since 1970.
std::string MinuteText(std::int64_t minute);

/// \brief Sums of the shares per team over all hours, by name.
std::vector<ShareHour> SumByTeam(const AccountRecord& account);

}  // namespace filbertspar
