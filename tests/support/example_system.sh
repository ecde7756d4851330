# For scripts that try a running system; sourced, not run, from the repository's folder.
# start_example_system BIN PREFIX starts a controller, an agent, a proxy and a stand-in server from docs/example on
# loopback, and sends them the example's configuration. PREFIX, two digits up to 31 (ports above belong to clients),
# goes before the last three digits of the example's ports: 28 gives 28146. innerPorts begin at 27660 then.
# Sets work (a folder) and pids (in the order above); both end with the script.
# shellcheck shell=bash
work=$(mktemp -d)
pids=()
# shellcheck disable=SC2317 # the trap below calls it
end_example_system() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait || true
  rm -rf "$work"
}
trap end_example_system EXIT
start_example_system() {
  local bin=$1 prefix=$2
  local inner=$((prefix - 1))
  local control=127.0.0.1:${prefix}146
  local ports="s|8146|${prefix}146|g; s|8143|${prefix}143|g; s|8144|${prefix}144|g; s|8140|${prefix}140|g"
  ports="$ports; s|^innerPorts=.*|innerPorts=${inner}660,${inner}675|"
  sed "s|^dataDir=.*|dataDir=$work/data|; $ports" docs/example/core.conf > "$work/core.conf"
  sed "$ports" docs/example/edge.conf > "$work/edge.conf"
  DOCKBEND_SETTINGS=$work/core.conf "$bin/dockbend-controller" > "$work/controller.log" 2>&1 & pids+=($!)
  DOCKBEND_SETTINGS=$work/edge.conf "$bin/dockbend-agent" > "$work/agent.log" 2>&1 & pids+=($!)
  DOCKBEND_SETTINGS=$work/edge.conf "$bin/dockbend-proxy" > "$work/proxy.log" 2>&1 & pids+=($!)
  "$bin/dockbend-loadgen" serve --at "127.0.0.1:${prefix}901" --id s-1 --beat "$control" --service desk --zone desk \
    > "$work/loadgen.log" 2>&1 & pids+=($!)
  for _ in $(seq 1 50); do
    "$bin/dockbend" --at "$control" configuration amend docs/example/manifest.json > /dev/null 2>&1 && break
    sleep 0.2
  done
}
