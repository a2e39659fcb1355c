#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into
# target/review-3. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I.)
read -ra libraries < <(pkg-config --libs fmt)
g++ "${flags[@]}" -c review/standins-3/stage.cpp -o "$out/stage.o"
for source in review/standins-3/case_*.cpp; do
  g++ "${flags[@]}" "$source" "$out/stage.o" "${libraries[@]}" \
    -o "$out/$(basename "$source" .cpp)"
done
