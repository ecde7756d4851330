#!/bin/bash
# Installs what building and testing need on Debian 12, as far as it is missing. The build's packages are
# those that deploy/system.toml names; the rest is for the tests and the checks.
#   scripts/install_packages.sh [--build-only]
set -eu
cd "$(dirname "$0")/.."
export DEBIAN_FRONTEND=noninteractive
packages=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '",')
[ "${1:-}" = --build-only ] || packages="$packages libcriterion-dev clang-format clang-tidy shellcheck curl python3"
missing=
for package in $packages; do
  dpkg -s "$package" > /dev/null 2>&1 || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
sudo=
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
# shellcheck disable=SC2086
$sudo apt-get install -y -qq $missing > /dev/null
