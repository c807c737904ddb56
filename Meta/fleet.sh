#!/usr/bin/env bash
# Starts the stand-ins and the instances of an example on loopback addresses, for demo.sh and tests.
# Usage: source Meta/fleet.sh; fleet_start EXAMPLE BUILD WORK; ...; fleet_stop

fleet_pids=()

# fleet_run NAME COMMAND...: starts a process and writes its log and process id to the work folder.
fleet_run() {
    local name=$1
    shift
    "$@" >"$fleet_work/$name.log" 2>&1 &
    fleet_pids+=($!)
    echo $! >"$fleet_work/$name.pid"
}

fleet_settings() {
    local n=$1 data_centre=$2
    cat >"$fleet_work/entry-$n.json" <<SETTINGS
// Settings of one instance; docs/OPERATIONS.md lists all settings.
{
    "name": "entry-$n",
    "data_centre": "$data_centre",
    "callers": { "address": "127.$fleet_net.1.$n:8080" },
    "operators": { "address": "127.$fleet_net.1.$n:9090", "key_file": "$fleet_work/operator.key" },
    "peers": {
        "address": "127.$fleet_net.1.$n:7070",
        "gossip_address": "127.$fleet_net.1.$n:7071",
        "seeds": ["127.$fleet_net.1.1:7071", "127.$fleet_net.1.2:7071", "127.$fleet_net.1.3:7071"],
        "key_file": "$fleet_work/peer.key"
    },
    "platform": { "address": "127.$fleet_net.0.1:8000", "key_file": "$fleet_work/platform.key", "believe_vm_list": true },
    "entry_keep_ms": ${fleet_keep_ms:-1500}
}
SETTINGS
}

fleet_instance() {
    fleet_run "entry-$1" "$fleet_build/Services/Carawaykeeld/carawaykeeld" --settings "$fleet_work/entry-$1.json"
}

# fleet_servers EXAMPLE: starts a stand-in for each server of the inventory.
fleet_servers() {
    local service name address
    grep -o '"name": "[^"]*", "role": "server", "service": "[^"]*"\|"address": "[^"]*"' "$1/inventory.json" |
        sed 's/"//g; s/,//g' | paste -d' ' - - | while read -r _ name _ _ _ service _ address; do
        echo "$name $service $address"
    done >"$fleet_work/servers.txt"
    while read -r name service address; do
        case $service in
        assistant | drafting)
            fleet_run "$name" "$fleet_build/Tests/StandIns/standin-engine" --listen "$address" \
                --token-delay-ms "${fleet_token_delay_ms:-4}" --answer-tokens "${fleet_answer_tokens:-60}"
            ;;
        *) fleet_run "$name" "$fleet_build/Tests/StandIns/standin-service" --listen "$address" ;;
        esac
    done <"$fleet_work/servers.txt"
}

fleet_ctl() {
    "$fleet_build/Services/Carawaykeelctl/carawaykeelctl" --operator "127.$fleet_net.1.${fleet_via:-2}:9090" \
        --key-file "$fleet_work/operator.key" "$@"
}

# fleet_check_running: prints each fleet process that is not running, with the last line of its log.
# Fails if there is one.
fleet_check_running() {
    local file name ended=0
    for file in "$fleet_work"/*.pid; do
        kill -0 "$(cat "$file")" 2>/dev/null && continue
        name=$(basename "$file" .pid)
        echo "$name did not start: $(tail -n 1 "$fleet_work/$name.log")" >&2
        ended=1
    done
    return $ended
}

# fleet_start EXAMPLE BUILD WORK NET INSTANCES: starts all processes, applies the example's
# declarations and waits until they are in force on all instances.
fleet_start() {
    local example=$1 count=$5 n
    fleet_build=$2 fleet_work=$3 fleet_net=$4
    local data_centres=(dc-a dc-b dc-c)
    mkdir -p "$fleet_work"
    echo "operator-key-for-the-demo" >"$fleet_work/operator.key"
    echo "peer-key-for-the-demo-fleet" >"$fleet_work/peer.key"
    echo "platform-key-for-the-demo" >"$fleet_work/platform.key"
    fleet_run platform "$fleet_build/Tests/StandIns/standin-platform" --listen "127.$fleet_net.0.1:8000"
    fleet_servers "$example"
    for ((n = 1; n <= count; n++)); do
        fleet_settings "$n" "${data_centres[$(((n - 1) % 3))]}"
        fleet_instance "$n"
    done
    # A process that cannot bind its address, because another running fleet uses it, has exited by now.
    sleep 0.3
    fleet_check_running || return 1
    for ((n = 0; n < 50; n++)); do
        fleet_ctl apply "$example" --operation first --base-version 0 >/dev/null 2>&1 && break
        sleep 0.2
    done
    for ((n = 0; n < 50; n++)); do
        [ "$(fleet_ctl status | grep -c 'version=1')" = "$count" ] && return 0
        sleep 0.2
    done
    echo "the fleet did not come up" >&2
    return 1
}

fleet_stop() {
    local pid
    for pid in "${fleet_pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
}
