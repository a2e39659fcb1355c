#!/usr/bin/env bash
# Measures the table service calls of an idle fleet, by number of nodes.
# Usage: tests/lab/bench-table.sh [NODES...]; prints a Markdown table.
set -euo pipefail
cd "$(dirname "$0")/../.."
sizes=("$@"); [ "${#sizes[@]}" -gt 0 ] || sizes=(3 9)
seconds=60
echo "| nodes in 3 zones | reads/s | writes/s | reads/s by cause | reads/s, writes/s in the 10 s after an outage of 20 s |"
echo "| --- | --- | --- | --- | --- |"
for n in "${sizes[@]}"; do
  dir=$(mktemp -d)
  scripts/lab-up.sh "$dir" --nodes "$n" --engines 1 > /dev/null
  platform=$(jq -r '.processes[]|select(.kind=="platform").address' "$dir/lab.json")
  sleep 3
  before=$(curl -s "http://$platform/control/counts")
  sleep "$seconds"
  after=$(curl -s "http://$platform/control/counts")
  causes=$(for node in $(jq -r '.processes[]|select(.kind=="entry").address' "$dir/lab.json"); do curl -s "http://$node/metrics"; done |
    sed -n 's/^orioletally_table_calls{cause="\([a-z]*\)",kind="read"} /\1 /p' | awk -v s="$(ps -o etimes= -p "$(jq -r '.processes[]|select(.kind=="entry").pid' "$dir/lab.json" | head -1)")" '{n[$1]+=$2} END {for (c in n) if (n[c] > 0) printf "%s %.2f ", c, n[c]/s}')
  curl -s -X POST "http://$platform/control/faults" -d '{"outage":true}' > /dev/null; sleep 20
  outage_end=$(curl -s "http://$platform/control/counts")
  curl -s -X POST "http://$platform/control/faults" -d '{}' > /dev/null; sleep 10
  recovered=$(curl -s "http://$platform/control/counts")
  jq -nr --argjson outage_end "$outage_end" --argjson recovered "$recovered" --arg causes "$causes" --argjson after "$after" --argjson before "$before" --argjson n "$n" --argjson seconds "$seconds" \
    '"| \($n) | \(($after.reads-$before.reads)/$seconds*100|round/100) | \(($after.writes-$before.writes)/$seconds*100|round/100) | \($causes) | \(($recovered.reads-$outage_end.reads)/10), \(($recovered.writes-$outage_end.writes)/10) |"'
  scripts/lab-down.sh "$dir" > /dev/null
  rm -rf "$dir"
done
