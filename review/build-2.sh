#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start: the programs, the stand-ins of the
# project and those beside the cases are Python, so that building is compiling.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q src/cassiahitch review/harness2 review/6 review/7 review/8 review/9 review/10
