#!/bin/sh
# Installs the Debian packages that the build, the tests and the linters need.
set -eu

packages="build-essential cmake pkg-config libuv1-dev
libmsgpack-dev liblog4c-dev libglib2.0-dev libcmocka-dev libjansson-dev
libxxhash-dev libhttp-parser-dev zlib1g-dev python3 clang-format clang-tidy cppcheck"

missing=
for package in $packages; do
	dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
[ "$(id -u)" = 0 ] || {
	echo "please install as root: apt-get install$missing" >&2
	exit 1
}
apt-get update -qq
# shellcheck disable=SC2086 # the list is meant to be split
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
