#include "filbertspar/program/src/log.h"

#include "spdlog/sinks/stdout_sinks.h"
#include "spdlog/spdlog.h"

namespace filbertspar {

std::shared_ptr<spdlog::logger> LoggerFor(const std::string& part) {
  std::shared_ptr<spdlog::logger> logger = spdlog::get(part);
  if (logger == nullptr) {
    logger = spdlog::stderr_logger_mt(part);
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L %n: %v");
  }
  return logger;
}

}  // namespace filbertspar
