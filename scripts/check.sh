#!/usr/bin/env bash
# Builds, lints and tests everything. CI and `make check` run this script.
set -euo pipefail
cd "$(dirname "$0")/.."
step() { printf '\n== %s (%ss)\n' "$1" "$SECONDS"; }
step packages
scripts/install-packages.sh
step build
cmake --preset release > /dev/null
cmake --build --preset release
step "deploy build"
scripts/deploy-build.sh
step lint
scripts/lint.sh
step "sanitizer build"
cmake --preset sanitize > /dev/null
cmake --build --preset sanitize
step "unit tests"
grep '^unittests/' KNOWN-RED.txt | sed 's/^/known red, deselected: /' || true
ctest --preset release
ctest --preset sanitize
step "integration tests"
scripts/integration.sh
step done
