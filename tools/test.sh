#!/usr/bin/env bash
# Installs missing packages, builds, runs all tests and a short soak test, and
# checks the Spin models.
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
