#!/usr/bin/env bash
# Checks all C++ files with clang-format and clang-tidy.
# Usage: tools/lint.sh [build directory]
# The build directory must contain compile_commands.json.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files -co --exclude-standard '*.hpp' '*.cpp' | sort -u |
    xargs clang-format --dry-run --Werror
git ls-files -co --exclude-standard '*.cpp' | sort -u |
    xargs -P 5 -n 4 clang-tidy --quiet -p "$build" 2> >(grep -v "warnings generated" >&2)
