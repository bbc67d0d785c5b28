#!/usr/bin/env bash
# Builds what the scripts of review 4 start beside the node: the stand-ins are Python and need no build, only a check
# that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c "import review.rig4.rig, soak.workers, soak.store, soak.proxy, soak.callers"
