#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into
# target/review-2. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I.)
common=()
jobs=()
compile() {
  g++ "${flags[@]}" "$@" &
  jobs+=("$!")
}
finish() {
  for job in "${jobs[@]}"; do
    wait "$job"
  done
  jobs=()
}
for source in review/standins-2/stage.cpp tests/lab/raw_server.cpp \
  tests/lab/store_server.cpp; do
  object="$out/$(basename "$source" .cpp).o"
  compile -c "$source" -o "$object"
  common+=("$object")
done
finish
read -ra libraries < <(pkg-config --libs fmt absl_strings)
for source in review/standins-2/case_*.cpp; do
  compile "$source" "${common[@]}" -o "$out/$(basename "$source" .cpp)" \
    "${libraries[@]}"
done
finish
