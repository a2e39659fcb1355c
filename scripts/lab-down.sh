#!/usr/bin/env bash
# Stops the processes that scripts/lab-up.sh started, entry nodes first.
# Usage: scripts/lab-down.sh DIR
set -uo pipefail
[ $# -eq 1 ] || { echo "usage: scripts/lab-down.sh DIR" >&2; exit 2; }
list="$1/processes.jsonl"
[ -e "$list" ] || { echo "lab-down: no lab in $1"; exit 0; }

# Stops the processes for which the jq condition $1 holds. SIGCONT lets stopped
# ones receive SIGTERM; what still runs after 10 s is killed.
stop_processes() {
  local pids
  pids=$(jq -r "select($1).pid" "$list")
  for pid in $pids; do kill -TERM "$pid" 2>/dev/null; kill -CONT "$pid" 2>/dev/null; done
  for pid in $pids; do
    for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    if kill -0 "$pid" 2>/dev/null; then
      echo "lab-down: $pid didn't exit within 10 s; killing it" >&2
      kill -KILL "$pid" 2>/dev/null
    fi
  done
}
stop_processes '.kind=="entry"'
stop_processes '.kind!="entry"'
rm -f "$1/lab.json" "$list"
echo "lab-down: done"
