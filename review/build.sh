#!/bin/sh
# Checks the stand-ins of the scripts, which are written in Python and need no build.
cd "$(dirname "$0")/.." || exit 2
python3 - testsuite/platform_deployment.py testsuite/platform_standins.py review/stand.py review/run_case.py review/*/*.py <<'END'
import sys
for file in sys.argv[1:]:
    with open(file) as source:
        compile(source.read(), file, "exec")
END
