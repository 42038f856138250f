#!/usr/bin/env bash
# Builds, lints and tests everything. CI and `make check` run this script. The tests, which mostly wait, run beside the
# steps that compile and lint; a failed step ends the job that it belongs to.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/steps.sh

build() { cmake --preset "$1" > /dev/null && cmake --build --preset "$1"; }
unit_tests() {
    grep '^unittests/' KNOWN-RED.txt | sed 's/^/known red, deselected: /' || true
    ctest --preset "$1"
}
compile_and_lint() {
    started=()
    step "deploy build" scripts/deploy-build.sh
    step "sanitizer build" build sanitize
    start step "sanitizer unit tests" unit_tests sanitize
    start step lint scripts/lint.sh
    join
}

start step packages scripts/install-packages.sh
join
start step "release build" build release
join
start step "release unit tests" unit_tests release
start step "integration tests" scripts/integration.sh
start compile_and_lint
join
report_passed
