#pragma once

#include <cstdint>

#include "filbertspar/base/base.h"
#include "filbertspar/fleet/fleet.h"
#include "filbertspar/http/http.h"
#include "filbertspar/request/request.h"

namespace filbertspar {

/// \brief Where a request is and what it waits for, as this entry process sees
/// it: {"request","state","team","pool","explanation":[...],...}.
/// kRequestUnknown when it is not one of this process.
HttpResponse ExplainJob(const Engine& engine, TimePoint now, RequestId request);

/// \brief Why a VM takes no work, or that it does. `row` is null for a VM that
/// the fleet lacks (kVmUnknown); `now_ms` is milliseconds of UTC since 1970.
HttpResponse ExplainVm(const Engine& engine, TimePoint now, const VmRow* row,
                       std::int64_t now_ms);

/// \brief Shares owed and received of every team with demand, per pool and
/// over the fleet, each with a reason.
HttpResponse ExplainShares(const Engine& engine, TimePoint now);

}  // namespace filbertspar
