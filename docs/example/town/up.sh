#!/bin/bash
# Brings up a small town on one desk: 3 core nodes in 3 zones of 2 regions, 6 gateways,
# 12 stand-in servers, all on 127.0.0.x. Ctrl-C (or the end of the script) ends it.
#   docs/example/town/up.sh target/dev [seconds]
set -eu
bin=$1
for_s=${2:-120}
here=$(cd "$(dirname "$0")" && pwd)
work=${TOWN_DIR:-$(mktemp -d)}
mkdir -p "$work"
trap 'kill $(jobs -p) 2>/dev/null; rm -rf "$work"' EXIT
zones=(oak elm ash)
regions=(east east west)
common="innerPorts=7660,7675
seedAddrs=127.0.1.1:8146,127.0.1.2:8146,127.0.1.3:8146
zones.oak=east
zones.elm=east
zones.ash=west
bootstrap=true"
for i in 0 1 2; do
  n=$((i + 1))
  ip=127.0.1.$n
  printf 'nodeName=core-%s\nip=%s\nzone=%s\nregion=%s\nbind.control=%s:8146\nbind.directory=%s:8143\ndataDir=%s/core-%s\n%s\n' \
    $n $ip ${zones[i]} ${regions[i]} $ip $ip "$work" $n "$common" > "$work/core-$n.conf"
  DOCKBEND_SETTINGS=$work/core-$n.conf "$bin/dockbend-controller" --staged > "$work/core-$n.log" 2>&1 &
done
for n in 1 2 3 4 5 6; do
  i=$(((n - 1) / 2))
  ip=127.0.2.$n
  # Proxy and agent of one gateway meet on 127.0.0.1, so each gateway has ports of its own.
  printf 'nodeName=edge-%s\nip=%s\nzone=%s\nregion=%s\nbind.front=%s:8144\nbind.ready=%s:8140\n%s\n' \
    $n $ip ${zones[i]} ${regions[i]} $ip $ip "$common" > "$work/edge-$n.conf"
  echo "agentPort=$((7700 + n))" >> "$work/edge-$n.conf"
  DOCKBEND_SETTINGS=$work/edge-$n.conf "$bin/dockbend-agent" > "$work/agent-$n.log" 2>&1 &
  echo $! > "$work/agent-$n.pid"
  DOCKBEND_SETTINGS=$work/edge-$n.conf "$bin/dockbend-proxy" > "$work/edge-$n.log" 2>&1 &
  echo $! > "$work/edge-$n.pid"
done
for n in 1 2 3 4 5 6 7 8 9 10 11 12; do
  i=$(((n - 1) / 4))
  "$bin/dockbend-loadgen" serve --at 127.0.3.$n:9001 --id s-$n --work-ms 40 --upload-ms 2500 --capacity 6 --beat 127.0.1.$((i + 1)):8146 \
    --service desk --zone ${zones[i]} &
  echo $! > "$work/server-$n.pid"
done
sleep 3
"$bin/dockbend" --at 127.0.1.1:8146 configuration amend "$here/manifest.json"
echo "up: control 127.0.1.1:8146, gateways 127.0.2.1-6:8144, files in $work"
sleep "$for_s"
