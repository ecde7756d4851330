#!/bin/bash
# Installs what is missing, builds, and serves the example on this machine: a controller, an agent, a proxy and
# two stand-in servers on loopback; then sends requests through the proxy and shows the status. Ctrl-C ends it.
#   scripts/demo.sh [SECONDS]     how long it stays up afterwards (default 600)
set -eu
cd "$(dirname "$0")/.."
scripts/install_packages.sh --build-only
cmake -S . -B target/demo -G Ninja -DCMAKE_BUILD_TYPE=Release -DDOCKBEND_TESTS=OFF > /dev/null
cmake --build target/demo
bin=target/demo
work=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null || true; rm -rf "$work"' EXIT
sed "s|^dataDir=.*|dataDir=$work/data|" docs/example/core.conf > "$work/controller.conf"
DOCKBEND_SETTINGS=$work/controller.conf $bin/dockbend-controller --staged > "$work/controller.log" 2>&1 &
DOCKBEND_SETTINGS=docs/example/edge.conf $bin/dockbend-agent > "$work/agent.log" 2>&1 &
DOCKBEND_SETTINGS=docs/example/edge.conf $bin/dockbend-proxy > "$work/proxy.log" 2>&1 &
for n in 1 2; do
  $bin/dockbend-loadgen serve --at 127.0.0.1:900$n --id s-$n --beat 127.0.0.1:8146 --service desk --zone desk > /dev/null &
done
for _ in $(seq 1 50); do
  $bin/dockbend --at 127.0.0.1:8146 configuration amend docs/example/manifest.json > /dev/null 2>&1 && break
  sleep 0.2
done
sleep 3
echo "--- requests through the proxy at 127.0.0.1:8144"
$bin/dockbend-loadgen --to 127.0.0.1:8144 --host desk.example --for 5 \
  --kind read:GET:/read/x:100 --kind pay:POST:/pay/x:40:300:keyed
echo "--- dockbend --at 127.0.0.1:8146 status"
$bin/dockbend --at 127.0.0.1:8146 status
echo "--- up for ${1:-600} s: proxy 127.0.0.1:8144, control 127.0.0.1:8146, directory 127.0.0.1:8143; Ctrl-C ends it"
sleep "${1:-600}"
