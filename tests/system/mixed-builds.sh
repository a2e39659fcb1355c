#!/usr/bin/env bash
# Runs the tests that start several entry nodes on fleets of two builds, as a
# rolling upgrade has them: nodes are started by turns from another build and
# from this one, first two of three from the other, then one of three.
# build/orioletally is replaced meanwhile by a script that picks the build.
# Usage: tests/system/mixed-builds.sh OTHER_BINARY
set -euo pipefail
cd "$(dirname "$0")/../.."
[ $# -eq 1 ] && [ -x "$1" ] || { echo "usage: tests/system/mixed-builds.sh OTHER_BINARY" >&2; exit 2; }
other=$(realpath "$1")
binary=$PWD/build/orioletally
dir=$(mktemp -d)
cp -p "$binary" "$dir/this"
trap 'mv -f "$dir/this" "$binary"; rm -rf "$dir"' EXIT

# pick BUILD BUILD BUILD: the builds of the nodes, in the order of their start
pick() {
  echo 0 > "$dir/started"
  cat > "$dir/wrapper" <<WRAPPER
#!/usr/bin/env bash
builds=($*)
exec 9> "$dir/lock"
flock 9
n=\$(cat "$dir/started")
echo \$((n + 1)) > "$dir/started"
exec 9>&-
echo "\${builds[n % 3]}" >> "$dir/picked"
exec "\${builds[n % 3]}" "\$@"
WRAPPER
  chmod +x "$dir/wrapper"
  mv -f "$dir/wrapper" "$binary"
}

failed=0
for builds in "$other $other $dir/this" "$other $dir/this $dir/this"; do
  pick $builds
  : > "$dir/picked"
  for group in platform.Cell platform.Relay system.Callers system.Faults; do
    if ! "build/tests/tests-${group%.*}" -sg "${group#*.}" -v; then
      echo "mixed-builds: $group failed" >&2
      failed=$((failed + 1))
    fi
  done
  echo "mixed-builds: $(grep -cxF "$other" "$dir/picked") nodes of the other build, $(grep -cxF "$dir/this" "$dir/picked") of this one"
done
echo "mixed-builds: $failed groups failed"
[ "$failed" -eq 0 ]
