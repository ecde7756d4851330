#!/bin/bash
# The packages that deploy/system.toml names for the build are those of README's install command, and
# every file that the build takes from the system (the headers included, the tools called) comes from
# one of them or from a package that they bring along.
#   tests/package_list.sh BUILD_DIR
set -eu
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
deploy=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '",' | tr ' ' '\n' | sort)
readme=$(sed -n '/apt-get install/,/[^\\]$/p' README.md | sed 's/apt-get install//; s/\\//' | tr ' ' '\n' | sed '/^$/d' | sort)
tests_only="libcriterion-dev"
if [ "$(printf '%s\n%s\n' "$deploy" "$tests_only" | sort)" != "$readme" ]; then
  echo "deploy/system.toml and README name different packages:" >&2
  diff <(printf '%s\n%s\n' "$deploy" "$tests_only" | sort) <(echo "$readme") >&2 || true
  exit 1
fi
# Everything that installing the list brings along, essential packages included.
closure=$(
  # shellcheck disable=SC2086
  apt-cache depends --recurse --no-recommends --no-suggests --no-conflicts --no-breaks --no-replaces \
    --no-enhances $deploy | sed -n 's/^\([a-z0-9][^ :]*\).*/\1/p' | sort -u
)
# System files that the compiler read for the product's sources (the tests' own objects left out).
headers=$(ninja -C "$build" -t deps | sed -n '/^tests\//,/^$/d; s/^    \(\/usr\/.*\)$/\1/p' | sort -u | xargs -r realpath | sort -u)
[ -n "$headers" ] || { echo "no dependencies recorded in $build" >&2; exit 1; }
tools=$(for tool in cmake make ninja g++ pkg-config; do realpath "$(command -v $tool)"; done)
missing=0
# shellcheck disable=SC2086
for package in $(dpkg -S $headers $tools 2>/dev/null | sed 's/[:,].*//' | sort -u); do
  if ! grep -qx "$package" <<< "$closure"; then
    echo "the build reads files of $package, which deploy/system.toml does not bring along" >&2
    missing=1
  fi
done
[ $missing = 0 ] && echo "packages: $(wc -l <<< "$deploy") named, files of the build all covered"
exit $missing
