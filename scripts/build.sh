#!/usr/bin/env bash
# Configures and builds one preset: default, asan or tsan.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-default}
cmake --preset "$preset" > /dev/null
cmake --build --preset "$preset"
