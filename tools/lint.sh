#!/usr/bin/env bash
# Checks format and lint of the whole tree.
# Usage: tools/lint.sh [build directory]   (needs its compile_commands.json)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files -co --exclude-standard '*.hpp' '*.cpp' | sort -u |
    xargs clang-format --dry-run --Werror
git ls-files -co --exclude-standard '*.cpp' | sort -u |
    xargs -P 5 -n 4 clang-tidy --quiet -p "$build" 2> >(grep -v "warnings generated" >&2)
