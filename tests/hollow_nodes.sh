#!/bin/bash
# Twenty simulated nodes before a real controller, judged by counts, not by time.
#   tests/hollow_nodes.sh BUILD
set -eu
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill "$pid" 2>/dev/null || true; rm -rf "$work"' EXIT
sed "s|^dataDir=.*|dataDir=$work/data|; s|8146|18146|g; s|8143|18143|; s|^innerPorts=.*|innerPorts=17660,17675|" \
  docs/example/core.conf > "$work/core.conf"
DOCKBEND_SETTINGS=$work/core.conf "$bin/dockbend-controller" > "$work/log" 2>&1 &
pid=$!
for _ in $(seq 1 50); do
  "$bin/dockbend" --at 127.0.0.1:18146 configuration amend docs/example/manifest.json > /dev/null 2>&1 && break
  sleep 0.2
done
"$bin/dockbend-hollow-nodes" nodes --control 127.0.0.1:18146 --inner 127.0.0.1:17660 --pid $pid --region home \
  --sites 20 --servers 20 --claims 20 --for 4 | tee "$work/out"
grep -q '"up":20,.*"beatsFailed":0,.*"refused":0' "$work/out"
"$bin/dockbend" --at 127.0.0.1:18146 --json status | grep -q '"id":"hollow-19"'
kill $pid
wait $pid || true
pid=
