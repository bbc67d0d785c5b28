#pragma once

/// \file
/// \brief What workers, VMs and the metadata store say, and the orders given
/// to them, as plain typed records.

#include "filbertspar/fleetview/src/orders.h"  // IWYU pragma: export
#include "filbertspar/fleetview/src/store.h"   // IWYU pragma: export
#include "filbertspar/fleetview/src/vm.h"      // IWYU pragma: export
#include "filbertspar/fleetview/src/worker.h"  // IWYU pragma: export
