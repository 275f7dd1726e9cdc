#!/usr/bin/env bash
# Installs what is missing, builds, runs every test and a short soak, and checks
# the models.
# Usage: tools/test.sh [build directory]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
tools/install_packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build"
tools/run_tests.sh "$build"
soak/check.sh "$build"
spec/check.sh
