#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: the harness here and those of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q src review
PYTHONPATH=target/deps:src:review/harness python3 -c 'import client, deployfile, engine, origin, parts, processes, record, site_parts, verdict'
