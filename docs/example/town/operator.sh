#!/bin/bash
# Plays the operator of the town in TOWN_DIR: restarts each gateway that a drain has emptied, and replaces
# each server that a rotation has emptied. Ends when no pass is under way.
#   TOWN_DIR=/tmp/town docs/example/town/operator.sh target/dev
set -eu
bin=$1
work=$TOWN_DIR
at="--at 127.0.1.1:8146"
next=100
declare -A done_
# What a stand-in ran, and the operation keys that it ran twice.
counts() {
  exec 3<>"/dev/tcp/$1/9001" || return 0
  printf 'GET /counts HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
  tail -n 1 <&3 >> "$work/counts.txt"
  echo >> "$work/counts.txt"
  exec 3>&-
}
while true; do
  drains=$("$bin/dockbend" $at drain status); rotations=$("$bin/dockbend" $at rotation status)
  while read -r name node; do
    [ -n "${done_[$name]:-}" ] && continue
    done_[$name]=1
    n=${node#edge-}
    kill "$(cat "$work/edge-$n.pid")" "$(cat "$work/agent-$n.pid")"
    (
      while kill -0 "$(cat "$work/edge-$n.pid")" 2>/dev/null || kill -0 "$(cat "$work/agent-$n.pid")" 2>/dev/null; do sleep 0.1; done
      DOCKBEND_SETTINGS=$work/edge-$n.conf "$bin/dockbend-agent" >> "$work/agent-$n.log" 2>&1 &
      echo $! > "$work/agent-$n.pid"
      DOCKBEND_SETTINGS=$work/edge-$n.conf "$bin/dockbend-proxy" >> "$work/edge-$n.log" 2>&1 &
      echo $! > "$work/edge-$n.pid"
    ) &
    echo "restarted $node"
  done < <(sed -n 's/.* name=\([^ ]*\)  node=\([^ ]*\) .*stage=empty.*/\1 \2/p' <<< "$drains")
  while read -r id; do
    [ -n "${done_[$id]:-}" ] && continue
    done_[$id]=1
    n=${id#s-}
    i=$(((n - 1) % 12 / 4))
    zones=(oak elm ash)
    counts 127.0.3.$n
    kill "$(cat "$work/server-$n.pid")"
    next=$((next + 1))
    m=$((next * 12 + (n - 1) % 12 + 1))
    "$bin/dockbend-loadgen" serve --at 127.0.4.$((next - 100)):9001 --id s-$m --work-ms 40 --upload-ms 2500 --capacity 6 --beat 127.0.1.$((i + 1)):8146 \
      --service desk --zone ${zones[i]} &
    echo $! > "$work/server-$m.pid"
    echo "replaced $id by s-$m"
  done < <(sed -n 's/.* name=\([^ ]*\)  service=.*stage=empty.*/\1/p' <<< "$rotations")
  grep -q 'state=\(running\|paused\)' <<< "$drains$rotations" || break
  sleep 0.5
done
