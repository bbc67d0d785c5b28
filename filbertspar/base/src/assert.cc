#include "filbertspar/base/src/assert.h"

#include <cstdio>
#include <cstdlib>

namespace filbertspar::internal {

void AssertionFailed(const char* condition, const char* rule, const char* file,
                     int line) {
  std::fprintf(stderr, "base: %s:%d broke the rule \"%s\" (%s).\n", file, line,
               rule, condition);
  std::abort();
}

}  // namespace filbertspar::internal
