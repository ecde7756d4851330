#!/bin/bash
# A rolling exchange of every node, from programs of one build to those of another, under load on loopback:
# three controllers (one membership of both builds), six pairs of agent and proxy, twelve stand-in servers.
# A trial for upgrades, not part of CI: it needs the programs of an older build.
#   tests/mixed_versions.sh OLD_BUILD NEW_BUILD
# Ends with 0 if every request was answered with success, by retries after 503 where need be, and no keyed
# request ran twice. Reports what the load generator and the stand-in servers counted.
set -eu
old=$(cd "$1" && pwd)
new=$(cd "$2" && pwd)
cd "$(dirname "$0")/../docs/example/town"
work=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null || true; rm -rf "$work"' EXIT
zones=(oak elm ash)
regions=(east east west)
declare -A pids

# The path of a program in a build; builds before the renaming have other names.
program() {
  local build=$1 name=$2
  [ -x "$build/dockbend-$name" ] && { echo "$build/dockbend-$name"; return; }
  case $name in
    controller) echo "$build/archivist" ;;
    agent) echo "$build/page" ;;
    proxy) echo "$build/circulation" ;;
  esac
}
start() { # build program node
  DOCKBEND_SETTINGS=$work/$3.conf "$(program "$1" "$2")" >> "$work/$3-$2.log" 2>&1 &
  pids[$3-$2]=$!
}
restart() { # program node, with the new build, after an orderly stop
  local key=$2-$1
  kill "${pids[$key]}"
  wait "${pids[$key]}" || true
  start "$new" "$1" "$2"
}
status() { "$new/dockbend" --at "127.0.1.$1:8146" --json status; }
in_contact() { # controller: it counts as a member, is in contact and has its keys
  local answer
  answer=$(status "$1" 2>/dev/null) || return 1
  grep -q '"inContact":true' <<< "$answer" && grep -q '"keysWhole":true' <<< "$answer"
}

common="innerPorts=7660,7675
seedAddrs=127.0.1.1:8146,127.0.1.2:8146,127.0.1.3:8146
zones.oak=east
zones.elm=east
zones.ash=west"
for n in 1 2 3; do
  ip=127.0.1.$n
  i=$((n - 1))
  printf 'nodeName=core-%s\nip=%s\nzone=%s\nregion=%s\nbind.control=%s:8146\nbind.directory=%s:8143\ndataDir=%s/core-%s\n%s\nbootstrap=true\n' \
    $n $ip "${zones[i]}" "${regions[i]}" $ip $ip "$work" $n "$common" > "$work/core-$n.conf"
  start "$old" controller core-$n
done
for n in 1 2 3 4 5 6; do
  i=$(((n - 1) / 2))
  ip=127.0.2.$n
  printf 'nodeName=edge-%s\nip=%s\nzone=%s\nregion=%s\nbind.front=%s:8144\nbind.ready=%s:8140\n%s\nagentPort=%s\n' \
    $n $ip "${zones[i]}" "${regions[i]}" $ip $ip "$common" $((7700 + n)) > "$work/edge-$n.conf"
  start "$old" agent edge-$n
  start "$old" proxy edge-$n
done
for n in 1 2 3 4 5 6 7 8 9 10 11 12; do
  i=$(((n - 1) / 4))
  "$new/dockbend-loadgen" serve --at 127.0.3.$n:9001 --id s-$n --work-ms 40 --capacity 6 --beat 127.0.1.$((i + 1)):8146 \
    --service desk --zone "${zones[i]}" > /dev/null 2>&1 &
done
sleep 4
"$new/dockbend" --at 127.0.1.1:8146 configuration amend manifest.json > /dev/null
sleep 2
"$new/dockbend-loadgen" --resolve 127.0.1.1:8143 --resolve 127.0.1.2:8143 --resolve 127.0.1.3:8143 --from oak:east --from elm:east --from ash:west \
  --retries 6 --time-left 3 --host desk.example --for 100 --json --kind read:GET:/read/x:80:::key-eve \
  --kind pay:POST:/pay/x:40:200:keyed:key-eve > "$work/load.json" &
load=$!
sleep 5
for n in 1 2 3 4 5 6; do # both orders: a new agent beside an old proxy, and an old agent beside a new proxy
  if [ $((n % 2)) = 1 ]; then first=agent second=proxy; else first=proxy second=agent; fi
  restart $first edge-$n
  sleep 2
  restart $second edge-$n
  sleep 1
done
for n in 1 2 3; do
  sed -i 's/^bootstrap=true/bootstrap=false/' "$work/core-$n.conf"
  restart controller core-$n
  for _ in $(seq 1 100); do
    in_contact $n && break
    sleep 0.2
  done
  in_contact $n || { echo "controller $n is not in contact after its exchange"; status $n; exit 1; }
  "$new/dockbend" --at 127.0.1.$n:8146 evacuation begin ash > /dev/null
  "$new/dockbend" --at 127.0.1.$n:8146 evacuation finish ash > /dev/null
  sleep 1
done
echo "exchanged: 3 controllers, 6 agents, 6 proxies"
wait $load
cat "$work/load.json"
for n in 1 2 3 4 5 6 7 8 9 10 11 12; do
  exec 3<>"/dev/tcp/127.0.3.$n/9001"
  printf 'GET /counts HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
  line=$(tail -n 1 <&3)
  exec 3>&-
  echo "s-$n $line" >> "$work/counts"
done
cat "$work/counts"
if grep -qv '"keysRunTwice":0' "$work/counts"; then
  echo "a keyed request ran twice" >&2
  exit 1
fi
# Every request that got an answer got a success; one without an answer is a connection that its proxy closed
# as the request was on its way, which the load generator does not send again.
if grep -qE '"answers":\{[^}]*"(3|4|5)[0-9][0-9]"' "$work/load.json"; then
  echo "a request was not served" >&2
  exit 1
fi
