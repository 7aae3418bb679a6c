#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python and are not compiled; this checks that the interpreter accepts them.
set -e
cd "$(dirname "$0")/.."
for file in testsuite/platform_coldness.py testsuite/platform_deployment.py testsuite/platform_standins.py \
  review/gateways.py review/launch.py review/1[1-5]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
