#!/bin/sh
# Builds the stand-ins of review/6 to review/10. They are Python: the project's own in soak/, the others in review/lab/.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q soak review/lab review/[6-9] review/10 2>/dev/null || python3 -m compileall -q soak review/lab
