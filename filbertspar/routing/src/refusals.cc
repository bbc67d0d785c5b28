#include "filbertspar/routing/src/refusals.h"

#include <utility>

namespace filbertspar {
namespace {

/// Refusals that are kept; some 5 MB.
constexpr std::size_t kMaxRefusals = 50'000;
/// Longer than a call waits for its reply.
constexpr Duration kRetention = Seconds(60);

void DropOldest(Refusals& refusals) {
  const auto& [at, job] = refusals.m_oldest_first.front();
  refusals.m_dropped_until = at;
  const auto found = refusals.m_by_job.find(job);
  if (found != refusals.m_by_job.end() && found->second.m_at == at) {
    refusals.m_by_job.erase(found);
  }
  refusals.m_oldest_first.pop_front();
}

}  // namespace

void RecordRefusal(Refusals& refusals, const JobId& job,
                   const Refusal& refusal) {
  auto& oldest_first = refusals.m_oldest_first;
  while (!oldest_first.empty() &&
         (oldest_first.size() >= kMaxRefusals ||
          refusal.m_at - oldest_first.front().first > kRetention)) {
    DropOldest(refusals);
  }
  refusals.m_by_job[job] = refusal;
  oldest_first.emplace_back(refusal.m_at, job);
}

std::optional<Refusal> FindRefusal(const Refusals& refusals, const JobId& job,
                                   TimePoint received_at) {
  const auto found = refusals.m_by_job.find(job);
  if (found != refusals.m_by_job.end() && received_at <= found->second.m_at) {
    return found->second;
  }
  if (received_at <= refusals.m_dropped_until) {
    return Refusal{Code::kDeadlinePassed, Duration(0),
                   refusals.m_dropped_until};
  }
  return std::nullopt;
}

}  // namespace filbertspar
