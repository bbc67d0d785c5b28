#pragma once

/// \file
/// \brief Plain types for the state that workers, VMs and the metadata store
/// report, and for the orders sent to them. The platform's names and formats
/// are translated to and from these types in platform/.

#include "filbertspar/fleetview/src/orders.h"  // IWYU pragma: export
#include "filbertspar/fleetview/src/store.h"   // IWYU pragma: export
#include "filbertspar/fleetview/src/vm.h"      // IWYU pragma: export
#include "filbertspar/fleetview/src/worker.h"  // IWYU pragma: export
