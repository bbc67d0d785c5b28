#pragma once

#include "filbertspar/platform/src/client.h"

namespace filbertspar::internal {

/// Sends, hedges or ends one operation, as far as that is due.
void StepOperation(PlatformClient& client, TimePoint now, OperationId id,
                   PlatformEffects& effects);

/// Counts the end of an exchange for the breaker, the budgets and the latency.
void RecordEnd(PlatformClient& client, TimePoint now,
               const Transmission& transmission,
               const TransmissionReport& report);

void WriteEnded(PlatformClient& client, TimePoint now, OperationId id,
                const TransmissionReport& report, PlatformEffects& effects);
void ReadBackEnded(PlatformClient& client, TimePoint now, OperationId id,
                   const TransmissionReport& report, PlatformEffects& effects);
void CallEnded(PlatformClient& client, TimePoint now, OperationId id,
               const TransmissionReport& report, PlatformEffects& effects);

/// While the breaker is open, reads one row each second.
void Probe(PlatformClient& client, TimePoint now, PlatformEffects& effects);

}  // namespace filbertspar::internal
