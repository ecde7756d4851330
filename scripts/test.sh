#!/bin/bash
# Installs what is missing, builds, and passes all tests and checks. CI runs just this. Needs no kit.
#   scripts/test.sh
set -eu
cd "$(dirname "$0")/.."
build=target/dev
scripts/install_packages.sh

echo "--- layers, formatter, shell scripts, mutations of rules"
tests/layering_test.py # the check itself finds violations
tests/layering.py
tests/rules/mutations_test.py
find packages programs tests -name '*.[ch]pp' -print0 | xargs -0 clang-format --dry-run --Werror
shellcheck .ci/run scripts/*.sh tests/*.sh tests/*/*.sh

echo "--- build"
cmake -S . -B $build -G Ninja -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build $build

echo "--- linter, over the packages of tests/lint_packages.txt"
tests/lint.sh $build

echo "--- programs, golden files, malformed input at running processes"
for program in proxy agent controller loadgen hollow-nodes model-check; do
  ./$build/dockbend-$program --help > /dev/null
  ./$build/dockbend-$program --version > /dev/null
done
tests/hollow_nodes.sh $build
tests/robustness/malformed_input_ports.sh $build
tests/golden/command_line.sh $build
tests/golden/control_api.sh $build
tests/package_list.sh $build

echo "--- with real processes: attempts at work, clients that leave, acknowledgements, settings, own answers, names, repeats, unlike routes, a short soak"
tests/soak/judge_test.py
tests/soak/system_test.py
tests/soak/incident_course.py $build
tests/soak/client_disconnects.py $build
tests/soak/after_acknowledgement.py $build
tests/soak/settings_in_force.py $build
tests/soak/local_replies.py $build
tests/soak/names.py $build
tests/soak/repeats.py $build
tests/soak/unlike_routes.py $build
tests/soak/soak.py $build --seed 1 --seeds 3 --for 12

echo "--- unit tests"
tests/unit_tests.sh $build
