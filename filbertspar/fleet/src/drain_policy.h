#pragma once

#include <cstdint>

#include "filbertspar/catalogue/catalogue.h"

namespace filbertspar {

/// \brief What a drain does with one running task.
enum class TaskAction : std::uint8_t { kLetFinish, kCheckpoint, kStop };

/// \brief Decides by class and deadline of the drain.
///
/// A caller waits for urgent and standard work, so it always finishes.
/// Overnight work that would outlast the drain is checkpointed; if it cannot
/// be, it is stopped only when it is repeatable, because its journal row runs
/// it again. `entry` is null for work that the catalogue does not know; it
/// finishes.
TaskAction DecideTask(const CatalogueEntry* entry, Duration running_for,
                      Duration until_drain_bound);

}  // namespace filbertspar
