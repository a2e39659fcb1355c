#!/usr/bin/env bash
# Checks the format and some rules of all files and runs clang-tidy on the
# product's sources; with a base revision, only on those changed since.
# Usage: scripts/lint.sh [BASE]
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t all < <(git ls-files '*.h' '*.cpp' | grep -v '^proto/generated/')
clang-format --dry-run --Werror "${all[@]}"
echo "lint: format of ${#all[@]} files is clean"

# The platform's wire names may occur only in its adapter and in tests.
names='X-Orioletally-|rows-(tx|get|feed|parts)|orioletally/(report|order|blob|readiness)|At-Server|Server-Limit|Store-Era'
if git grep -nIE "$names" -- core drivers main charts; then
  echo "lint: a wire name of the platform occurs outside platform/" >&2
  exit 1
fi
echo "lint: the platform's wire names occur in platform/ only"

# Every reader of a connection uses the bounded buffer.
if git grep -nE 'flat_buffer|multi_buffer|flat_static_buffer|asio::streambuf' -- core drivers platform main ':!drivers/loop/read_buffer.*'; then
  echo "lint: a reader of a connection doesn't use loop::ReadBuffer" >&2
  exit 1
fi
echo "lint: readers of connections use loop::ReadBuffer only"

# When a co_await after &&, || or ?: isn't evaluated, g++ 12 nevertheless
# destroys its operand, which was never constructed.
if git grep -nE '(&&|\|\||[?:]) *!?\(?co_await' -- '*.cpp' '*.h' ||
  git grep -nE -A1 '(&&|\|\||\?|:)$' -- '*.cpp' '*.h' | grep -E -- '-[0-9]+- *!?\(?co_await'; then
  echo "lint: a co_await in a conditionally evaluated operand" >&2
  exit 1
fi
echo "lint: no co_await in a conditionally evaluated operand"

# Every shell script must be executable, start with #! and parse.
while read -r mode _ _ script; do
  [ "$mode" = 100755 ] && [ "$(head -c 2 "$script")" = '#!' ] && bash -n "$script" ||
    { echo "lint: $script isn't executable, lacks #! or doesn't parse" >&2; exit 1; }
done < <(git ls-files -s '*.sh' .ci/run)
echo "lint: shell scripts are executable and parse"

if [ $# -ge 1 ]; then
  mapfile -t product < <(git diff --name-only --diff-filter=d "$1" -- 'core/*.cpp' 'drivers/*.cpp' 'platform/*.cpp' 'main/*.cpp')
else
  mapfile -t product < <(git ls-files 'core/*.cpp' 'drivers/*.cpp' 'platform/*.cpp' 'main/*.cpp')
fi
[ "${#product[@]}" -gt 0 ] || { echo "lint: nothing to lint"; exit 0; }
# clang can't read the headers that g++ has precompiled.
commands=$(mktemp -d)
trap 'rm -rf "$commands"' EXIT
sed -E 's/-Winvalid-pch -include [^ "]*cmake_pch\.hxx//' build/compile_commands.json > "$commands/compile_commands.json"
printf '%s\n' "${product[@]}" | xargs -P 6 -n 2 clang-tidy --quiet -p "$commands" 2> /dev/null
echo "lint: ${#product[@]} files are clean"
