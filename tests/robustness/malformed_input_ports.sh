#!/bin/bash
# Starts a controller, an agent, a proxy and a stand-in server on loopback, throws malformed input at
# their ports and checks that all of them live on. Ends by itself.
#   tests/robustness/malformed_input_ports.sh BIN [--seed N] [--rounds N]
set -eu
bin=$(cd "$1" && pwd)
shift
cd "$(dirname "$0")/../.."
# shellcheck source=tests/support/example_system.sh
source tests/support/example_system.sh
start_example_system "$bin" 28
rc=0
"$bin/malformed_input_ports" --control 127.0.0.1:28146 --directory 127.0.0.1:28143 --inner 127.0.0.1:27660 \
  --agent 127.0.0.1:27661 --front 127.0.0.1:28144 "$@" || rc=1
i=0
for name in controller agent proxy loadgen; do
  kill -0 "${pids[$i]}" 2>/dev/null || { echo "input_ports: $name ended"; rc=1; }
  grep -E "ERROR: AddressSanitizer|runtime error" "$work/$name.log" && rc=1
  [ $rc = 0 ] || tail -5 "$work/$name.log"
  i=$((i + 1))
done
exit $rc
