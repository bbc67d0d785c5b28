#include "filbertspar/traffic/src/payload_cache.h"

#include <openssl/sha.h>

namespace filbertspar {

void KeepPayload(PayloadCache& cache, const JobId& job,
                 const std::string& payload) {
  if (payload.size() > cache.m_max_bytes) {
    return;
  }
  const auto [entry, is_new] = cache.m_payloads.try_emplace(job);
  if (is_new) {
    cache.m_order.push_back(job);
  }
  cache.m_bytes += payload.size();
  cache.m_bytes -= entry->second.size();
  entry->second = payload;
  while (cache.m_bytes > cache.m_max_bytes) {
    const auto oldest = cache.m_payloads.find(cache.m_order.front());
    cache.m_bytes -= oldest->second.size();
    cache.m_payloads.erase(oldest);
    cache.m_order.pop_front();
  }
}

const std::string* FindPayload(const PayloadCache& cache, const JobId& job,
                               const std::string& digest) {
  const auto found = cache.m_payloads.find(job);
  return found != cache.m_payloads.end() &&
                 PayloadDigest(found->second) == digest
             ? &found->second
             : nullptr;
}

const std::string* ResolvePayload(PayloadCache& cache, const JobId& job,
                                  const std::string& digest,
                                  const std::string& sent) {
  if (PayloadDigest(sent) == digest) {
    KeepPayload(cache, job, sent);
  }
  return FindPayload(cache, job, digest);
}

std::string PayloadDigest(const std::string& payload) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(reinterpret_cast<const unsigned char*>(payload.data()), payload.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  return digest;
}

}  // namespace filbertspar
