#!/usr/bin/env bash
# Measures the calls to the table service of an idle fleet, by nodes and zones.
# Usage: tests/lab/bench-table.sh [NODES...]; prints a Markdown table.
set -euo pipefail
cd "$(dirname "$0")/../.."
sizes=("$@"); [ "${#sizes[@]}" -gt 0 ] || sizes=(3 9)
seconds=60
echo "| nodes in 3 zones | table reads/s | table writes/s |"
echo "| --- | --- | --- |"
for n in "${sizes[@]}"; do
  dir=$(mktemp -d)
  scripts/lab-up.sh "$dir" --nodes "$n" --engines 1 > /dev/null
  platform=$(jq -r '.processes[]|select(.kind=="platform").address' "$dir/lab.json")
  sleep 3
  before=$(curl -s "http://$platform/control/counts")
  sleep "$seconds"
  after=$(curl -s "http://$platform/control/counts")
  jq -nr --argjson a "$after" --argjson b "$before" --argjson n "$n" --argjson s "$seconds" \
    '"| \($n) | \(($a.reads-$b.reads)/$s*100|round/100) | \(($a.writes-$b.writes)/$s*100|round/100) |"'
  scripts/lab-down.sh "$dir" > /dev/null
  rm -rf "$dir"
done
