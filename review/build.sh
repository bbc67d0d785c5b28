#!/usr/bin/env bash
# The stand-ins of the review are Python programs; this only checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"'
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import review.standins.site, soak.http1'
