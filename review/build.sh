#!/usr/bin/env bash
# Builds the stand-ins and the programs of the review's cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c standins/standins.cpp -o bin/standins.o &
pids=($!)
for source in cases/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ "${flags[@]}" -c "$source" -o "bin/$name.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in cases/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -pthread "bin/$name.o" bin/standins.o -o "bin/$name"
done
echo "review: built $(ls cases/*.cpp | wc -l) cases"
