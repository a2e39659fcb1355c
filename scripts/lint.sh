#!/usr/bin/env bash
# Checks format and lints. With a base revision, only product files that have
# changed since are linted; the format of all is checked.
# Usage: scripts/lint.sh [BASE]
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t all < <(git ls-files '*.h' '*.cpp' | grep -v '^proto/generated/')
clang-format --dry-run --Werror "${all[@]}"
echo "lint: format of ${#all[@]} files is clean"

# The platform's names are spelled in its adapter only; tests speak them too.
names='X-Orioletally-|rows-(tx|get|feed|parts)|orioletally/(report|order|blob|readiness)|At-Server'
if git grep -nIE "$names" -- core drivers main charts; then
  echo "lint: a name of the platform stands outside platform/" >&2
  exit 1
fi
echo "lint: the platform's names stand in platform/ only"

# g++ 12 destroys a co_await's operand that was never made when the co_await
# stands behind &&, || or ?: and isn't reached.
if git grep -nE '(&&|\|\||[?:]) *!?\(?co_await' -- '*.cpp' '*.h' ||
  git grep -nE -A1 '(&&|\|\||\?|:)$' -- '*.cpp' '*.h' | grep -E -- '-[0-9]+- *!?\(?co_await'; then
  echo "lint: a co_await that may be skipped inside an expression" >&2
  exit 1
fi
echo "lint: no co_await is skipped inside an expression"

# A shell script is checked for its first line, its mode and its syntax.
while read -r mode _ _ script; do
  [ "$mode" = 100755 ] && [ "$(head -c 2 "$script")" = '#!' ] && bash -n "$script" ||
    { echo "lint: $script isn't a sound shell script" >&2; exit 1; }
done < <(git ls-files -s '*.sh' .ci/run)
echo "lint: shell scripts are sound"

if [ $# -ge 1 ]; then
  mapfile -t product < <(git diff --name-only --diff-filter=d "$1" -- 'core/*.cpp' 'drivers/*.cpp' 'platform/*.cpp' 'main/*.cpp')
else
  mapfile -t product < <(git ls-files 'core/*.cpp' 'drivers/*.cpp' 'platform/*.cpp' 'main/*.cpp')
fi
[ "${#product[@]}" -gt 0 ] || { echo "lint: nothing to lint"; exit 0; }
# clang can't read the headers that g++ has compiled ahead.
commands=$(mktemp -d)
trap 'rm -rf "$commands"' EXIT
sed -E 's/-Winvalid-pch -include [^ "]*cmake_pch\.hxx//' build/compile_commands.json > "$commands/compile_commands.json"
printf '%s\n' "${product[@]}" | xargs -P 6 -n 2 clang-tidy --quiet -p "$commands" 2> /dev/null
echo "lint: ${#product[@]} files are clean"
