#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, the project's own too.
# They are Python files, so that building compiles and imports them. It runs after the
# build of the deploy file, which puts the libraries under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX="$PWD/target/review"
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q review tests/platform lacewinglug
python3 -c "import review.stage"
