#!/bin/sh
# The stand-ins are Python files that need only the standard library. This checks that
# they compile and that the build of deploy/system.toml has been run.
set -e
cd "$(dirname "$0")/.."
python3 - review/common/*.py review/[1-5]/*.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
