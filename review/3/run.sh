#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/raised_limit ] && [ -x target/dockbend-controller ] || exit 2
timeout -k 5 110 target/review/raised_limit target "$here/record.txt"
result=$?
[ $result -le 1 ] && exit $result
exit 2
