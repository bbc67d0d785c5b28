#pragma once

#include <string>

#include "filbertspar/base/base.h"
#include "filbertspar/config/config.h"
#include "filbertspar/entry/src/dispatcher.h"
#include "filbertspar/metrics/metrics.h"
#include "filbertspar/store/store.h"

namespace filbertspar {

/// \brief Body of GET /metrics. Labels are names of the catalogue and result
/// codes only.
std::string MetricsPage(const RequestMetrics& metrics, const Config& config,
                        const Store& store, const Engine& engine,
                        TimePoint now);

}  // namespace filbertspar
