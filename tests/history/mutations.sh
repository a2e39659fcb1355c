#!/usr/bin/env bash
# Verifies that the history tests detect faults: breaks one decision at a time
# in a scratch copy and runs the tests there. Every row must say "caught".
# Usage: tests/history/mutations.sh
set -uo pipefail
cd "$(dirname "$0")/../.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -co --exclude-standard | tar -cf - -T - | tar -xf - -C "$scratch"
cd "$scratch"
sed -i 's/-Werror//' CMakeLists.txt # a mutation may leave a name unused
cmake -S . -B build -G Ninja > /dev/null
cmake --build build --target tests-history > /dev/null || exit 1

missed=0
# mutate NAME FILES SED GROUP
mutate() {
  local files=$2 applied=1 out status
  for file in $files; do
    cp "$file" "$file.orig"
    sed -i -E "$3" "$file"
    cmp -s "$file" "$file.orig" && applied=0
  done
  if [ $applied -eq 0 ]; then
    echo "| $1 | not applied |"; missed=1
  elif ! cmake --build build --target tests-history > build.log 2>&1; then
    echo "| $1 | doesn't build |"; missed=1
  else
    out=$(timeout 60 build/tests/tests-history -sg "$4" 2>&1); status=$?
    if [ $status -eq 0 ]; then echo "| $1 | MISSED |"; missed=1
    elif [ $status -eq 124 ]; then echo "| $1 | caught: timed out |"
    else echo "| $1 | caught: $(grep -m1 -oE '[^[:space:]].*Replay: ORIOLETALLY_SEED=[0-9]+' <<< "$out" || grep -m1 -oE 'Failure in .*' <<< "$out") |"; fi
  fi
  for file in $files; do mv "$file.orig" "$file"; touch "$file"; done
}
machine=core/requests/request_machine.cpp
echo "| decision broken | result |"
echo "| --- | --- |"
mutate "frames of other requests accepted" $machine 's/event\.Frame\.RequestId != Plan\.RequestId/false/' RequestHistory
mutate "duplicate tokens accepted" $machine 's/frame\.Offset < NextOffset/false/' RequestHistory
mutate "gaps ignored" $machine 's/frame\.Offset > NextOffset/false/' RequestHistory
mutate "early final frame accepted" $machine 's/frame\.Offset != NextOffset/false/' RequestHistory
mutate "deadline ignored" $machine 's/now >= Plan\.Deadline/false/' RequestHistory
mutate "stream restarted after its first token" $machine 's/NextOffset > 0 \&\& Plan\.Streaming/false/' RequestHistory
mutate "written submit reported as not run" $machine 's/return MayHaveRun \? RunState::Unknown : RunState::NotRun/return RunState::NotRun/' RequestHistory
mutate "unrepeatable request retried" $machine 's/!Plan\.Profile\.repeatable\(\)/false/' RequestHistory
mutate "restarted engine trusted" $machine 's/event\.Answer->Uptime >= now - SubmittedAt/true/' RequestHistory
mutate "neither retry budget nor backoff" "core/routing/backend_registry.cpp core/routing/fleet_router.cpp" 's/std::min\(exponential, MaxBackoff\)/absl::ZeroDuration()/; s/!Budget\.tryTake\(now\)/false/' RequestHistory
ledger=core/claims/claim_ledger.cpp
service=drivers/gateway/service_runner.cpp
mutate "claim without an outcome taken over" $ledger 's/return ClaimPending\{row\.value.*/return std::nullopt;/' ClaimHistory
mutate "claim released after an unknown outcome" $service 's/\.Run == RunState::NotRun\)/.Run != RunState::Ran)/' ClaimHistory
mutate "call with an old claim sent" $service 's/isTooOld \|\|/false \&\& isTooOld ||/' ClaimHistory
mutate "unknown outcome retried" $service 's/run == RunState::NotRun \|\| !Plan\.Unrepeatable/true/' ClaimHistory
mutate "written call reported as not run" $service 's/failure\.Written \? RunState::Unknown/failure.Written ? RunState::NotRun/' ClaimHistory
exit $missed
