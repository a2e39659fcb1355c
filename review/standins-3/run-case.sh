#!/usr/bin/env bash
# Runs the program CASE of a case's folder. Usage: run-case.sh FOLDER CASE.
# Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
program=target/review-3/$2
if [ ! -x "$program" ] || [ ! -x target/orioletally ]; then
  echo "run the build of the deploy file and review/build-3.sh first"
  exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
REVIEW_RECORD=$folder/record.txt
export TMPDIR REVIEW_RECORD
timeout -k 2 110 "$program" &
pid=$!
# The nodes end with the program.
trap 'kill "$pid" 2> /dev/null; wait "$pid" 2> /dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' INT TERM
wait "$pid"
code=$?
# For whoever looks for the cause; not part of the case.
[ -z "${REVIEW_LOGS:-}" ] || cp "$TMPDIR"/*.log "$REVIEW_LOGS"
[ "$code" -le 2 ] || code=2
exit "$code"
