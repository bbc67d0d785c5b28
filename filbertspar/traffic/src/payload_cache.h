#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/job/job.h"

namespace filbertspar {

/// \brief Payloads of the jobs that this VM forwarded to the owner, so that it
/// can send their starts. Bounded; the oldest payloads are dropped first.
struct PayloadCache {
  std::size_t m_max_bytes = 0;
  std::size_t m_bytes = 0;
  std::deque<JobId> m_order;
  absl::flat_hash_map<JobId, std::string> m_payloads;
};

/// \brief Keeps the payload of a job; a later one for the same job replaces it.
void KeepPayload(PayloadCache& cache, const JobId& job,
                 const std::string& payload);

/// \brief Payload with this digest, or nullptr. A caller may have submitted
/// another payload under the id of a job that exists.
const std::string* FindPayload(const PayloadCache& cache, const JobId& job,
                               const std::string& digest);

/// \brief Payload with this digest: `sent`, which is kept then, or one that was
/// kept before; nullptr when neither has it. An empty payload is one, too.
const std::string* ResolvePayload(PayloadCache& cache, const JobId& job,
                                  const std::string& digest,
                                  const std::string& sent);

/// \brief Identifies a payload: its SHA-256 hash, 32 bytes.
std::string PayloadDigest(const std::string& payload);

}  // namespace filbertspar
