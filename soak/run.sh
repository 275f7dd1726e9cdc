#!/usr/bin/env bash
# Runs a fault soak of the edge daemon: starts real processes on loopback, and
# signals only those.
# Usage: soak/run.sh BUILD LOGS [options of soak_site, e.g. --seed 7]
# The logs of the daemons and of the soak are written to the directory LOGS. The
# exit status is 1 if an invariant was violated (BROKEN lines).
set -euo pipefail
build=$1
logs=$2
shift 2
mkdir -p "$logs"
"$build/soak/soak_site" --prepare "$logs" "$@"

pids=()
coproc site { exec "$build/soak/soak_site" "$@" 2>"$logs/soak.log"; }
site_pid=$site_PID
exec {commands}<&"${site[0]}" {exit_events}>&"${site[1]}"

start() {
    local pid_file="$logs/vm$1.pid"
    rm -f "$pid_file"
    (
        "$build/apps/catkinkeel-edge" --settings "$logs/vm$1.yaml" \
            >>"$logs/vm$1.log" 2>&1 &
        echo $! >"$pid_file.new"
        mv "$pid_file.new" "$pid_file"
        status=0
        wait $! 2>/dev/null || status=$?
        echo "exited $1 $status" >&"$exit_events" 2>/dev/null || true
    ) &
    while [ ! -e "$pid_file" ]; do sleep 0.01; done
    pids[$1]=$(cat "$pid_file")
}

while read -r command daemon <&"$commands"; do
    case $command in
    start) start "$daemon" ;;
    term) kill -TERM "${pids[$daemon]}" || true ;;
    kill) kill -KILL "${pids[$daemon]}" || true ;;
    pause) kill -STOP "${pids[$daemon]}" || true ;;
    resume) kill -CONT "${pids[$daemon]}" || true ;;
    reload) kill -HUP "${pids[$daemon]}" || true ;;
    esac
done
status=0
wait "$site_pid" || status=$?
for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
done
wait
grep -E '^(seed|BROKEN)' "$logs/soak.log" || tail -n 5 "$logs/soak.log"
exit "$status"
