#pragma once

#include <string>

#include "filbertspar/burn/src/account.h"
#include "filbertspar/burn/src/budget.h"

namespace filbertspar {

/// \brief The report as one HTML page that loads nothing: plots are inline
/// SVG.
std::string ReportAsHtml(const BurnReport& report,
                         const AccountRecord& account);

}  // namespace filbertspar
