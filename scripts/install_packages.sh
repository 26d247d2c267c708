#!/usr/bin/env bash
# Installs everything that building and testing needs, from Debian's packages.
set -euo pipefail

PACKAGES=(
    g++ cmake ninja-build ccache pkg-config git curl
    libboost-all-dev libcapnp-dev capnproto libtoml11-dev libdocopt-dev nlohmann-json3-dev libssl-dev libeigen3-dev
    catch2 libtrompeloeil-cpp-dev librapidcheck-dev libbenchmark-dev
    spin clang-format-19 clang-tidy-19 clang-tools-19 gnuplot-nox valgrind iproute2
)

SUDO=
if [ "$(id -u)" -ne 0 ]; then
    SUDO=sudo
fi

missing=()
for package in "${PACKAGES[@]}"; do
    if ! dpkg-query -W -f '${db:Status-Status}' "$package" 2>/dev/null | grep -qx installed; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -gt 0 ]; then
    $SUDO apt-get update -q
    $SUDO env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
