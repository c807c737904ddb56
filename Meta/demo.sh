#!/usr/bin/env bash
# Installs packages, builds, and runs the eight instances of the Lisovna Hub example under mixed load.
# Meanwhile it kills and restarts one instance, tops up a budget, changes the configuration, and pauses
# and drains other instances. At the end it prints a report with the checks of the router's guarantees.
# --no-setup skips installing and building.
set -uo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" != --no-setup ]; then
    ./Meta/install.sh && ./Meta/build.sh Build || exit 1
fi
source Meta/fleet.sh
work=$(mktemp -d)
changed=$(mktemp -d)
result=1
# Keeps the logs, report and rows of a failed run.
finish() {
    fleet_stop
    rm -rf "$changed"
    if [ "$result" = 0 ]; then rm -rf "$work"; else echo "kept: $work" >&2; fi
}
trap finish EXIT
seconds=${CARAWAYKEEL_DEMO_SECONDS:-20}
net=${CARAWAYKEEL_DEMO_NET:-1}

fleet_start Examples/lisovna-hub Build "$work" "$net" 8 || exit 1
echo "== eight instances, three data centres, thirteen servers: up"
fleet_ctl status
entries=()
for n in 1 2 3 4 5 6 7 8; do entries+=(--entry "127.$net.1.$n:8080"); done
./Build/Benchmarks/carawaykeel-load "${entries[@]}" --team press-modra --team growers-east --team family-presses \
    --team season-office --team archive --platform "127.$net.0.1:8000" --servers "$work/servers.txt" \
    --callers "${CARAWAYKEEL_DEMO_CALLERS:-16}" --seconds "$seconds" >"$work/report.txt" &
load=$!
fleet_pids+=("$load")

sleep $((seconds / 4))
echo "== kill entry-4 without shutdown"
kill -KILL "$(cat "$work/entry-4.pid")"
sleep $((seconds / 8))
echo "== top up family-presses, twice under one id"
fleet_ctl top-up family-presses extra-1 100000
fleet_ctl top-up family-presses extra-1 100000
echo "== declare that server assistant-3 is leaving"
cp Examples/lisovna-hub/*.json "$changed"
sed -i 's/"leaving": \[\]/"leaving": ["assistant-3"]/' "$changed/rules.json"
fleet_ctl diff "$changed"
fleet_ctl apply "$changed" --operation take-assistant-3-out --base-version 1
fleet_ctl apply Examples/lisovna-hub --operation too-late --base-version 1
echo "   (exit code $? is a conflict)"
sleep $((seconds / 8))
echo "== pause entry-5 for three seconds"
kill -STOP "$(cat "$work/entry-5.pid")"
sleep 3
kill -CONT "$(cat "$work/entry-5.pid")"
echo "== drain entry-6"
fleet_ctl drain "127.$net.1.6:9090"
sleep $((seconds / 8))
echo "== restart entry-4 as a new incarnation"
fleet_instance 4
wait "$load"
result=$?
cat "$work/report.txt"
if [ "$result" != 0 ]; then
    for prefix in bill house loss grant budget; do
        curl -s "http://127.$net.0.1:8000/table/range?prefix=$prefix/" >"$work/rows-$prefix.json"
    done
    while read -r name _ address; do
        curl -s "http://$address/oracle" >"$work/oracle-$name.json"
    done <"$work/servers.txt"
fi
echo
fleet_ctl status
wait "$(cat "$work/entry-6.pid")"
echo "entry-6 ended with exit code $? (0: all tokens returned)"
exit $result
