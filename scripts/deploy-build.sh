#!/usr/bin/env bash
# Runs the build of deploy/system.toml on a clean copy of the committed tree.
# Prints its processor time, and fails if the build does or if it reads a header
# of a package that the deploy file's packages don't bring along.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"
cd "$copy"

build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$build" ] || { echo "deploy-build: the deploy file has no build" >&2; exit 1; }
TIMEFORMAT="deploy-build: %U s + %S s of processor time, %R s"
time bash -c "$build" > build.log 2>&1 || { tail -50 build.log; exit 1; }
[ -x target/orioletally ] || { echo "deploy-build: no target/orioletally" >&2; exit 1; }

# The packages that apt-get installs with those of the deploy file.
mapfile -t listed < <(sed -n '/^packages = \[/,/^\]/p' deploy/system.toml |
  grep -o '"[^"]*"' | tr -d '"')
apt-cache depends --recurse --no-recommends --no-suggests --no-conflicts \
  --no-breaks --no-replaces --no-enhances "${listed[@]}" |
  grep -o '^[a-z0-9][^ :]*' | sort -u > closure
ninja -C target -t deps | sed -n 's/^ *\(\/.*\)$/\1/p' | grep -v "^$copy" |
  sort -u | xargs readlink -f | sort -u > headers
xargs dpkg -S < headers | sed 's/[:,].*//' | sort -u > used
[ -s used ] || { echo "deploy-build: no header was found" >&2; exit 1; }
if comm -23 used closure | grep .; then
  echo "deploy-build: these packages aren't in the deploy file" >&2
  exit 1
fi
echo "deploy-build: $(wc -l < headers) headers, all of packages in the deploy file"
