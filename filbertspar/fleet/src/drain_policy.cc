#include "filbertspar/fleet/src/drain_policy.h"

namespace filbertspar {

TaskAction DecideTask(const CatalogueEntry* entry, Duration running_for,
                      Duration until_drain_bound) {
  if (entry == nullptr || entry->m_class != WorkClass::kOvernight) {
    return TaskAction::kLetFinish;
  }
  if (entry->m_run_time - running_for <= until_drain_bound &&
      running_for <= entry->m_run_time) {
    return TaskAction::kLetFinish;
  }
  if (entry->m_checkpointable) {
    return TaskAction::kCheckpoint;
  }
  return entry->m_repeatable ? TaskAction::kStop : TaskAction::kLetFinish;
}

}  // namespace filbertspar
