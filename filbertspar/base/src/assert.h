#pragma once

namespace filbertspar::internal {

[[noreturn]] void AssertionFailed(const char* condition, const char* rule,
                                  const char* file, int line);

}  // namespace filbertspar::internal

/// \brief Ends the process with a message that names the broken rule.
#define FS_ASSERT(condition, rule)                                         \
  do {                                                                     \
    if (!(condition)) {                                                    \
      ::filbertspar::internal::AssertionFailed(#condition, rule, __FILE__, \
                                               __LINE__);                  \
    }                                                                      \
  } while (false)
