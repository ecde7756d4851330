#!/bin/bash
# The command line's texts and exit codes against tests/golden/cli.txt: help, version and wrong usage of
# each program and command, and the requests that dockbend's commands send. With DOCKBEND_WRITE_GOLDEN=1
# the file is written instead.
#   tests/golden/command_line.sh BIN
set -eu
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")"
golden=$PWD/cli.txt
work=$(mktemp -d)
recorder=
end() {
  [ -z "$recorder" ] || kill "$recorder" 2>/dev/null || true
  rm -rf "$work"
}
trap end EXIT
cd "$work"
export PATH="$bin:$PATH" LC_ALL=C DOCKBEND_SETTINGS=missing.conf
# Prints one call's exit code, output and error text; a usage text that help has shown is named only.
call() {
  local code=0
  timeout 10 "$@" >out 2>err </dev/null || code=$?
  printf '$ %s\nexit %s\n' "$*" "$code"
  for stream in out err; do
    if [ -s help ] && cmp -s "$stream" help; then
      echo "$stream: usage"
    else
      sed "s/^/$stream: /" "$stream"
    fi
  done
}
{
  for program in dockbend-proxy dockbend-agent dockbend-controller dockbend dockbend-loadgen dockbend-hollow-nodes dockbend-model-check; do
    rm -f help
    call "$program" --help
    cp out help
    call "$program" --version
    call "$program" --no-such-option
    case $program in
      dockbend-proxy | dockbend-agent | dockbend-controller)
        call "$program"
        call "$program" surplus
        call "$program" --settings
        call "$program" --check
        call "$program" --staged --check
        ;;
    esac
  done
  rm -f help
  dockbend --help > help
  for line in "" "unknown" "status surplus" "manifest" "manifest unknown" "manifest read surplus" "manifest amend" \
    "manifest amend no-such-file" "evacuation" "evacuation begin" "evacuation finish" "evacuation preview" \
    "evacuation compare" "evacuation begin z surplus" "member" "member list surplus" "member remove" "member add" \
    "duty" "duty status surplus" "duty hand-over" "duty hand-over d" "allowance" "allowance list surplus" \
    "allowance show" "configuration" "configuration unknown" "configuration read surplus" "configuration amend" \
    "lease" "lease status surplus" "lease hand-over d" "quota" "quota list surplus" "quota show" "rollout" "rollout status surplus" \
    "rollout pause" "rollout resume" "rollout abort" \
    "drain" "drain plan" "drain start" "drain status surplus" "drain pause" "drain resume" "drain abort" \
    "drain return" "drain return 1" "rotation" "rotation plan" "rotation start" "rotation status surplus" \
    "rotation pause" "rotation resume" "rotation abort" "rotation return" "rotation return 1" \
    "status" "--at nowhere status" "--at 10.0.0.1 status" "--at 10.0.0.1:0 status" "--timeout 0 status" \
    "--tolerance 0 status" "--headroom 1 drain plan a" "--headroom x drain plan a" "--max-unavailable 0 status" \
    "--patience 0 status" "--if-fits status" "--at 127.0.0.1:1 --timeout 1 status"; do
    # shellcheck disable=SC2086
    call dockbend $line
  done
  # What each command of right usage asks of the control address, which answers {}.
  "$bin/request_recorder" > requests &
  recorder=$!
  for _ in $(seq 1 100); do
    [ -s requests ] && break
    sleep 0.1
  done
  port=$(head -1 requests)
  printf '{"upsert":{}}' > amend.json
  for line in "status" "--json status" "manifest read" "manifest amend amend.json" "evacuation begin z" \
    "evacuation finish z" "evacuation preview z" "--if-fits evacuation begin z" "configuration read" \
    "configuration amend amend.json" "lease status" "lease hand-over d n" "quota list" "quota show t" "member list" \
    "member remove 10.0.0.1" "member add 10.0.0.1" "duty status" "duty hand-over d n" "allowance list" \
    "allowance show t" "rollout status" "rollout pause 1" "rollout resume 1" "rollout abort 1" "drain plan n" \
    "drain start n" "drain status" "drain pause 1" "drain resume 1" "drain abort 1" "drain return 1 u" \
    "rotation plan n" "rotation start n" "rotation status" "rotation pause 1" "rotation resume 1" \
    "rotation abort 1" "rotation return 1 u"; do
    before=$(wc -l < requests)
    # shellcheck disable=SC2086
    call dockbend --at "127.0.0.1:$port" --timeout 2 $line | sed "s/127\.0\.0\.1:$port/ADDRESS/g"
    tail -n +$((before + 1)) requests | sed 's/^/request: /; s/ *$//'
  done
} > now.txt
if [ "${DOCKBEND_WRITE_GOLDEN:-}" = 1 ]; then
  cp now.txt "$golden"
  exit
fi
[ -f "$golden" ] || { echo "golden file is missing: $golden" >&2; exit 1; }
diff -u "$golden" now.txt
echo "cli: $(grep -c '^\$ ' now.txt) calls as in the golden file"
