#!/bin/bash
# The command line's texts and exit codes against tests/golden/cli.txt: help, version and wrong usage of
# each program and command. With DOCKBEND_WRITE_GOLDEN=1 the file is written instead.
#   tests/cli_golden.sh BIN
set -eu
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")"
golden=$PWD/golden/cli.txt
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
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
  for program in circulation page archivist dockbend patron facsimile collation; do
    rm -f help
    call "$program" --help
    cp out help
    call "$program" --version
    call "$program" --no-such-option
    case $program in
      circulation | page | archivist)
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
    "allowance show" "rollout" "rollout status surplus" "rollout pause" "rollout resume" "rollout abort" \
    "drain" "drain plan" "drain start" "drain status surplus" "drain pause" "drain resume" "drain abort" \
    "drain return" "drain return 1" "rotation" "rotation plan" "rotation start" "rotation status surplus" \
    "rotation pause" "rotation resume" "rotation abort" "rotation return" "rotation return 1" \
    "status" "--at nowhere status" "--at 10.0.0.1 status" "--at 10.0.0.1:0 status" "--timeout 0 status" \
    "--tolerance 0 status" "--headroom 1 drain plan a" "--headroom x drain plan a" "--max-unavailable 0 status" \
    "--patience 0 status" "--if-fits status" "--at 127.0.0.1:1 --timeout 1 status"; do
    # shellcheck disable=SC2086
    call dockbend $line
  done
} > now.txt
if [ "${DOCKBEND_WRITE_GOLDEN:-}" = 1 ]; then
  cp now.txt "$golden"
  exit
fi
[ -f "$golden" ] || { echo "golden file is missing: $golden" >&2; exit 1; }
diff -u "$golden" now.txt
echo "cli: $(grep -c '^\$ ' now.txt) calls as in the golden file"
