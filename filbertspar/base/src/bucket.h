#pragma once

#include <algorithm>

#include "filbertspar/base/src/time.h"

namespace filbertspar {

/// \brief Token bucket over handed-in time.
struct TokenBucket {
  double m_per_second = 1;
  double m_burst = 1;
  double m_tokens = 1;
  TimePoint m_filled{};
};

/// \brief A full bucket.
inline TokenBucket MakeBucket(double per_second, double burst, TimePoint now) {
  return {per_second, burst, burst, now};
}

inline void Refill(TokenBucket& bucket, TimePoint now) {
  if (now > bucket.m_filled) {
    bucket.m_tokens = std::min(
        bucket.m_burst, bucket.m_tokens + bucket.m_per_second *
                                              ToSeconds(now - bucket.m_filled));
    bucket.m_filled = now;
  }
}

inline bool TakeToken(TokenBucket& bucket, TimePoint now) {
  Refill(bucket, now);
  // The tolerance absorbs rounding of microseconds to fractions of a token.
  if (bucket.m_tokens < 1 - 1e-9) {
    return false;
  }
  bucket.m_tokens -= 1;
  return true;
}

/// \brief When the next token is there, `now` at the earliest.
inline TimePoint NextToken(const TokenBucket& bucket, TimePoint now) {
  TokenBucket filled = bucket;
  Refill(filled, now);
  const double missing = std::max(0.0, 1 - filled.m_tokens);
  return now + Duration(static_cast<std::int64_t>(
                   missing / filled.m_per_second * 1e6 + 0.999));
}

}  // namespace filbertspar
