#!/usr/bin/env bash
# Installs the Debian packages needed to build and test the project, if any are missing.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy
    libboost1.81-dev nlohmann-json3-dev libvalijson-dev libtclap-dev libspdlog-dev libfmt-dev doctest-dev
    libxxhash-dev prometheus-cpp-dev librapidcheck-dev gnuplot-nox python3-pytest python3-requests
)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" > /dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
