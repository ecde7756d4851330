#!/bin/bash
# Starts a controller, an agent, a proxy and a stand-in server on loopback, throws malformed input at
# their ports and checks that all of them live on. Ends by itself.
#   tests/robustness/malformed_input_ports.sh BIN [--seed N] [--rounds N]
set -eu
bin=$(cd "$1" && pwd)
shift
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
pids=()
# shellcheck disable=SC2317 # the trap below calls it
end() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait || true
  rm -rf "$work"
}
trap end EXIT
shift_ports="s|8146|28146|g; s|8143|28143|g; s|8144|28144|g; s|8140|28140|g; s|^innerPorts=.*|innerPorts=27660,27675|"
sed "s|^dataDir=.*|dataDir=$work/data|; $shift_ports" docs/example/core.conf > "$work/core.conf"
sed "$shift_ports" docs/example/edge.conf > "$work/edge.conf"
DOCKBEND_SETTINGS=$work/core.conf "$bin/dockbend-controller" > "$work/controller.log" 2>&1 & pids+=($!)
DOCKBEND_SETTINGS=$work/edge.conf "$bin/dockbend-agent" > "$work/agent.log" 2>&1 & pids+=($!)
DOCKBEND_SETTINGS=$work/edge.conf "$bin/dockbend-proxy" > "$work/proxy.log" 2>&1 & pids+=($!)
"$bin/dockbend-loadgen" serve --at 127.0.0.1:29001 --id s-1 --beat 127.0.0.1:28146 --service desk --zone desk > "$work/loadgen.log" 2>&1 & pids+=($!)
for _ in $(seq 1 50); do
  "$bin/dockbend" --at 127.0.0.1:28146 configuration amend docs/example/manifest.json >/dev/null 2>&1 && break
  sleep 0.2
done
rc=0
"$bin/malformed_input_ports" --control 127.0.0.1:28146 --directory 127.0.0.1:28143 --inner 127.0.0.1:27660 --agent 127.0.0.1:27661 --front 127.0.0.1:28144 "$@" || rc=1
i=0
for name in controller agent proxy loadgen; do
  kill -0 "${pids[$i]}" 2>/dev/null || { echo "input_ports: $name ended"; rc=1; }
  grep -E "ERROR: AddressSanitizer|runtime error" "$work/$name.log" && rc=1
  [ $rc = 0 ] || tail -5 "$work/$name.log"
  i=$((i + 1))
done
exit $rc
