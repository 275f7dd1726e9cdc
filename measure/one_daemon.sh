#!/usr/bin/env bash
# Measures CPU time and resident memory of one daemon without traffic, for
# several lengths of the VM list and numbers of targets. All targets are in other
# data centres. Uses only loopback addresses and its own fixed ports, and ends
# after about 4 minutes.
# Usage: measure/one_daemon.sh [build directory]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
directory=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
    pids=()
}
trap 'stop_all; rm -rf "$directory"' EXIT

write_list() {
    awk -v count="$1" 'BEGIN { for (i = 1; i <= count; ++i) {
        control = i == 1 ? "127.99.1.1:16081" : \
            sprintf("127.32.%d.%d:17400", i / 250, i % 250 + 1)
        packets = i == 1 ? "127.99.1.1:16080" : \
            sprintf("127.32.%d.%d:16080", i / 250, i % 250 + 1)
        printf "[[vm]]\nid = %d\ndata_centre = %d\n", i, (i - 1) % 16 + 1
        printf "control = \"%s\"\npackets = \"%s\"\n", control, packets } }'
}

write_set() {
    awk -v count="$1" 'BEGIN { print "version = 1"
        for (i = 1; i <= 16; ++i)
            printf "[[data_centre]]\nid = %d\nname = \"dc-%d\"\nregion = %d\n", \
                i, i, (i - 1) / 4
        services = int(count / 40) + 1
        for (i = 1; i <= services; ++i)
            printf "[[service]]\nid = %d\nname = \"s-%d\"\n", i, i
        for (i = 1; i <= count / 4; ++i) {
            printf "[[reference]]\nid = %d\nservice = %d\n", i, i % services + 1
            printf "address = \"127.40.%d.%d:443\"\nprotocol = \"tcp\"\n", \
                i / 250, i % 250 + 1 }
        for (i = 1; i <= count; ++i) {
            host = sprintf("127.16.%d.%d", i / 250, i % 250 + 1)
            printf "[[target]]\nid = %d\nservice = %d\ndata_centre = %d\n", \
                i, i % services + 1, i % 15 + 2
            printf "address = \"%s:8443\"\nreport = \"%s:9100\"\n", \
                host, host } }'
}

measure() {
    local vms=$1 targets=$2
    write_list "$vms" >"$directory/vms.toml"
    write_set "$targets" >"$directory/set.toml"
    printf '1 %064d\n' 7 >"$directory/keys"
    chmod 600 "$directory/keys"
    cat >"$directory/vm.toml" <<END
[vm]
id = 1
name = "vm-1"
data_centre = 1
[endpoints]
packets = "127.99.1.1:16080"
control = "127.99.1.1:16081"
operators = "127.0.0.1:19080"
egress = "127.99.0.1:16080"
[platform]
configuration = "127.0.0.1:18500"
vm_list = "127.0.0.1:18500"
[keys]
file = "$directory/keys"
END
    "$build/standins/platform_standin" --port 18500 --directory "$directory" \
        >"$directory/platform.log" 2>&1 &
    pids+=($!)
    sleep 4
    "$build/apps/catkinkeeld" --settings "$directory/vm.toml" \
        2>"$directory/vm.log" &
    local daemon=$!
    pids+=("$daemon")
    sleep 12
    local ticks_before ticks_after
    ticks_before=$(awk '{ print $14 + $15 }' "/proc/$daemon/stat")
    sleep 25
    ticks_after=$(awk '{ print $14 + $15 }' "/proc/$daemon/stat")
    awk -v vms="$vms" -v targets="$targets" \
        -v ticks=$((ticks_after - ticks_before)) \
        -v ticks_per_second="$(getconf CLK_TCK)" \
        -v resident_kb="$(awk '/VmRSS/ { print $2 }' "/proc/$daemon/status")" \
        -v published="$(grep -c 'published version' "$directory/platform.log")" \
        'BEGIN { printf "daemon.cpu vms=%d targets=%d %.2f %% of a core\n", \
                 vms, targets, 100 * ticks / ticks_per_second / 25
                 printf "daemon.resident vms=%d targets=%d %.1f MB\n", vms, \
                 targets, resident_kb / 1024
                 if (!published) print "# the set was not published" }'
    for thread in "/proc/$daemon/task"/*; do
        awk -v ticks_per_second="$(getconf CLK_TCK)" '{ printf \
            "  thread %s %.2f s\n", $2, ($14 + $15) / ticks_per_second }' \
            "$thread/stat"
    done | sort -k3 -nr | head -n 4
    stop_all
}

for vms in 36 575 2300; do
    measure "$vms" 24
done
measure 2300 6000
measure 2300 24000
