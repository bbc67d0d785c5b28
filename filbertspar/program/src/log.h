#pragma once

#include <memory>
#include <string>

#include "spdlog/logger.h"

namespace filbertspar {

/// \brief Logger of one part; each line starts with the part as fixed prefix.
///
/// No key, secret or request body goes into a log.
std::shared_ptr<spdlog::logger> LoggerFor(const std::string& part);

}  // namespace filbertspar
