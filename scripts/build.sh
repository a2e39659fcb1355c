#!/usr/bin/env bash
# Configures and builds a preset. Usage: scripts/build.sh [default|asan|tsan]
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-default}
cmake --preset "$preset" > /dev/null
cmake --build --preset "$preset"
