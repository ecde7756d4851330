#!/bin/bash
# Runs all unit tests. Those that KNOWN-RED.txt lists are left out of the verdict: they are run by themselves, printed,
# and must fail; one that passes has to be taken off the list.
#   tests/unit_tests.sh BUILD
# A line of KNOWN-RED.txt: EXECUTABLE SUITE/TEST: CAUSE (issue N)
# Lines that begin with tests/ are of scripts, which read them themselves (tests/soak/known_red.py).
set -eu
build=$1
list=KNOWN-RED.txt
most_lines=3

red_lines() {
  if [ -f "$list" ]; then grep -v -e '^#' -e '^$' -e '^tests/' "$list" || true; fi
}

lines=$(red_lines | wc -l)
if [ "$lines" -gt "$most_lines" ]; then
  echo "$list: $lines tests, at most $most_lines may be listed"
  exit 1
fi

executables=$(red_lines | cut -d ' ' -f 1 | sort -u)
left_out=$(echo "$executables" | paste -sd '|')
if [ -z "$left_out" ]; then
  ctest --test-dir "$build" -j"$(nproc)" --output-on-failure
  exit 0
fi

ctest --test-dir "$build" -j"$(nproc)" --output-on-failure -E "^($left_out)\$"
for executable in $executables; do
  red_tests=$(red_lines | sed -n "s/^$executable \([^:]*\):.*/\1/p" | paste -sd '|')
  "$build/${executable}_test" -j1 --filter "!($red_tests)"
done

echo "--- known red"
red_lines | while IFS= read -r line; do
  executable=${line%% *}
  test=${line#* }
  test=${test%%:*}
  if ! "$build/${executable}_test" --list | grep -q "${test#*/}"; then
    echo "$list names a test that does not exist: $line"
    exit 1
  fi
  if "$build/${executable}_test" -j1 --filter "$test" > /dev/null 2>&1; then
    echo "$list lists a test that passes, take it off: $line"
    exit 1
  fi
  echo "$line"
done
