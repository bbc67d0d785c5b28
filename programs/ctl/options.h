#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar::ctl {

/// \brief What the command line and the environment say.
struct Options {
  /// Administration addresses, tried in this order.
  std::vector<Endpoint> m_addresses;
  std::string m_operator_key;
  /// Command and its arguments.
  std::vector<std::string> m_words;
  /// JSON file with the fields of an item; empty for none.
  std::string m_file;
  /// Version a change is made against; 0 stands for the one in force.
  std::int64_t m_base = 0;
  std::int64_t m_count = 0;
  Duration m_period = Seconds(1);
  Duration m_timeout = Seconds(10);
  bool m_json = false;
  bool m_dry_run = false;
  /// The help or the version was printed; there is nothing left to do.
  bool m_done = false;
};

/// \brief Reads the command line. The operator key comes from --key-file or
/// from FILBERTSPAR_OPERATOR_KEY, the addresses from --address or from
/// FILBERTSPAR_ADDRESSES. kUsage or kOperatorKeyMissing on failure.
absl::StatusOr<Options> ReadOptions(int argc, const char* const* argv);

}  // namespace filbertspar::ctl
