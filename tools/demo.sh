#!/usr/bin/env bash
# Builds catkinkeel and runs a demonstration on loopback addresses: the three
# data centres of the sample organisation Exlibris with six daemons, and
# stand-ins for the platform, the network fabric, callers and targets. Ends
# within 2 minutes after the build and prints a result table.
# Usage: tools/demo.sh [build directory]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
tools/install_packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target catkinkeeld platform_standin demo_site

directory=$(mktemp -d)
pids=()
# Ends the started processes and deletes the temporary directory.
stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$directory"
}
trap stop_all EXIT

"$build/standins/demo_site" prepare "$directory"
"$build/standins/platform_standin" --port 8500 --directory "$directory" \
    >"$directory/platform.log" 2>&1 &
pids+=($!)
for id in 1 2 3 4 5 6; do
    "$build/apps/catkinkeeld" --settings "$directory/vm$id.toml" \
        2>"$directory/vm$id.log" &
    pids+=($!)
done
status=0
timeout 115 "$build/standins/demo_site" run "$directory" || status=$?
if [ "$status" -ne 0 ]; then
    tail -n 5 "$directory"/vm*.log
fi
exit "$status"
