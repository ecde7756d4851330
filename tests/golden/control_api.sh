#!/bin/bash
# The control API of a running system against tests/golden/http.txt: for each call the status code and the
# names of all JSON members of the answer (values differ from run to run); for refused calls the whole
# answer. Starts a controller, an agent, a proxy and a stand-in server on loopback and ends by itself. The
# calls are repeated for up to 20 s, until the system has settled and all is as in the golden file. With
# DOCKBEND_WRITE_GOLDEN=1 the file is written instead, after 8 s.
#   tests/golden/control_api.sh BIN
set -eu
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
golden=$PWD/tests/golden/http.txt
# shellcheck source=tests/support/example_system.sh
source tests/support/example_system.sh
control=127.0.0.1:26146
start_example_system "$bin" 26
cat > "$work/customer.json" <<'JSON'
{"upsert":{"customers":[{"name":"ada","keys":["k1"],"rank":1,"homeRegions":[],
"allowance":{"rate":60,"burst":60,"reserve":0.3},"generation":"00000001"}]}}
JSON
"$bin/dockbend" --at "$control" configuration amend "$work/customer.json" >/dev/null
"$bin/dockbend" --at "$control" evacuation begin desk >/dev/null
"$bin/dockbend" --at "$control" evacuation finish desk >/dev/null

# call METHOD TARGET [BODY]: code and names; whole: code and answer.
call() {
  local code
  code=$(curl -s -o "$work/answer" -w '%{http_code}' -m 5 -X "$1" ${3+--data-binary "$3"} "http://$control$2") || true
  echo "$1 $2${3:+ $3}"
  echo "  code $code"
  if [ "${whole-}" = 1 ]; then
    sed 's/^/  /' "$work/answer"
    echo
  else
    grep -oE '"[A-Za-z_][A-Za-z0-9_.-]*":' "$work/answer" | sort -u | tr -d '":' | sed 's/^/  member /' || true
  fi
}
look() {
  for name in Status Config.Read Member.List Duty.Status Allowance.List Allowance.Show/ada Rollout.Status \
    Drain.Status Rotation.Status Survey; do
    call GET "/-/$name"
  done
  whole=1
  call GET /-/Unknown
  call GET /-/Config.Amend
  call POST /-/Config.Amend '{'
  call POST /-/Config.Amend '{}'
  call POST /-/Config.Amend '{"upsert":{"pools":[{"name":"x"}]}}'
  call POST /-/Servers.Heartbeat/s-9 '{}'
  call POST /-/Rollout.Pause/99 ''
  call POST /-/Drain.Pause/99 ''
  call POST /-/Drain.Start '{}'
  call POST /-/Duty.HandOver/none/none ''
  call GET /-/Allowance.Show/none
  call POST /-/Member.Remove/10.9.9.9 ''
  whole=0
}
if [ "${DOCKBEND_WRITE_GOLDEN:-}" = 1 ]; then
  sleep 8
  look > "$golden"
  exit
fi
[ -f "$golden" ] || { echo "golden file is missing: $golden" >&2; exit 1; }
for _ in $(seq 1 20); do
  look > "$work/now.txt"
  if cmp -s "$golden" "$work/now.txt"; then
    echo "http: $(grep -c '^  code' "$golden") calls as in the golden file"
    exit
  fi
  sleep 1
done
diff -u "$golden" "$work/now.txt"
