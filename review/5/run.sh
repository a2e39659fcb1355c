#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit code: 0 the rule held, 1 it was broken, 2
# the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
REVIEW_ROOT=$(cd ../.. && pwd)
export REVIEW_ROOT
if [ ! -x ../bin/watchers ] || [ ! -x "$REVIEW_ROOT/target/orioletally" ]; then
  echo "run the build of the deploy file and review/build.sh first"
  exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
timeout -k 2 110 ../bin/watchers &
pid=$!
# The nodes end with the program.
trap 'kill "$pid" 2> /dev/null; wait "$pid" 2> /dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' INT TERM
wait "$pid"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
