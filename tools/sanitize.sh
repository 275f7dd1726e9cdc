#!/usr/bin/env bash
# Builds with sanitizers and runs tests: all tests with AddressSanitizer and
# UndefinedBehaviorSanitizer, or the tests of libraries that use threads with
# ThreadSanitizer.
# Usage: tools/sanitize.sh address|thread [build directory]
set -euo pipefail
cd "$(dirname "$0")/.."
case ${1:-} in
address)
    sanitizers=address,undefined
    selected=.
    targets=(all)
    ;;
thread)
    sanitizers=thread
    selected='^(ring|event|link|packet|edge|daemon)(/|$)'
    targets=(catkinkeel_{ring,event,link,packet,edge,daemon}_test)
    ;;
*)
    echo "usage: tools/sanitize.sh address|thread [build directory]" >&2
    exit 2
    ;;
esac
build=${2:-build-$1}
cmake -S . -B "$build" -G Ninja -DCATKINKEEL_SANITIZE="$sanitizers" >/dev/null
cmake --build "$build" --target "${targets[@]}"
tools/run_tests.sh "$build" "$selected"
