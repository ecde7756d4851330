#!/bin/bash
# Runs clang-tidy over packages: tests/lint.sh BUILD_DIRECTORY [PACKAGE...]
# Without packages: those that tests/lint_packages.txt lists, which must stay clean. LINT_JOBS: at once (default 3).
set -eu -o pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: tests/lint.sh BUILD_DIRECTORY [PACKAGE...]}
shift
if [ $# -eq 0 ]; then
  mapfile -t packages < <(grep -v '^#' tests/lint_packages.txt)
  set -- "${packages[@]}"
fi
for package in "$@"; do
  if [ ! -d "packages/$package" ]; then
    echo "lint: no package $package" >&2
    exit 2
  fi
  # Headers of other packages are those packages' matter.
  find "packages/$package" -name '*.cpp' -print0 |
    xargs -0 -r -n1 -P"${LINT_JOBS:-3}" clang-tidy --quiet -p "$build" --header-filter="packages/$package/"
done
echo "lint: in order: $*"
