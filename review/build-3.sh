#!/usr/bin/env bash
# Stand-ins of the cases 11 to 15 are Python and need no build; checks that they
# can be read and that the build of the deploy file is there.
cd "$(dirname "$0")/.." || exit 1
python3 - review/rig3/*.py review/1[1-5]/*.py review/further-3/*/*.py <<'CHECK' || exit 1
import ast
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
CHECK
test -x target/programs/filbertspar-node || {
  echo "target/programs/filbertspar-node is missing: run the build of deploy/system.toml"
  exit 1
}
