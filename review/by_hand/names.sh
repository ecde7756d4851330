#!/bin/bash
# Two findings that are no cases of the review (see REPORT.md), on the example town; needs curl and the fixed addresses of
# docs/example/town. Exits with 1 if one is seen, 0 if none is, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
docs/example/town/up.sh target 25 > /dev/null 2>&1 &
sleep 7
change=$(mktemp)
trap 'rm -f "$change"' EXIT
cat > "$change" <<'JSON'
{"upsert":{"sockets":[
  {"host":"Quote.Example","policy":[{"name":"q","kind":"idempotent","keyless":true,"generation":"00000009","selector":{"pathPrefix":"/q/"},"actuation":{"service":"desk","deadlineS":2}}]},
  {"host":"lower.example","policy":[{"name":"k","kind":"keyed","generation":"00000009","selector":{"pathPrefix":"/k/"},"actuation":{"service":"desk","deadlineS":2}}]}],
 "customers":[{"name":"print","keys":["t1"],"generation":"00000009"},{"name":"print/budapest","keys":["t2"],"generation":"00000009"}]}}
JSON
target/dockbend --at 127.0.1.1:8146 configuration amend "$change" || exit 2
sleep 3
ask() { curl -s -o /dev/null -D - -H "X-Attempt-Id: by-hand-$RANDOM$RANDOM" "$@" | tr -d '\r'; }
seal() { sed -n 's/^X-Server-Seal: //p'; }
seen=0
answer=$(ask -H 'Host: Quote.Example' http://127.0.2.1:8144/q/1 | head -1)
echo "Host: Quote.Example, as configured: $answer"
[[ $answer == *" 404 "* ]] && seen=1
for n in 1 2 3; do
  first=$(ask -X POST -H 'Host: lower.example' -H 'Authorization: Token t1' -H "X-Operation-Key: budapest/$n" -d a http://127.0.2.1:8144/k/1 | seal)
  sleep 0.5
  second=$(ask -X POST -H 'Host: lower.example' -H 'Authorization: Token t2' -H "X-Operation-Key: $n" -d b http://127.0.2.3:8144/k/1 | seal)
  echo "tenant print, key budapest/$n: seal $first; tenant print/budapest, key $n: seal $second"
  [ -n "$first" ] && [ "$first" = "$second" ] && seen=1
done
wait
exit $seen
