#!/usr/bin/env bash
# Builds, lints and tests everything. CI and `make check` run this script. The tests, which mostly wait, run beside the
# linter, but not beside a build: while compilers write, a sync of the disk can take seconds, longer than the tests of
# control hosts wait. The tests of untrusted clients bound the memory of processes and run last, alone.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/steps.sh

build() { cmake --preset "$1" > /dev/null && cmake --build --preset "$1"; }
unit_tests() {
    grep '^unittests/' KNOWN-RED.txt | sed 's/^/known red, deselected: /' || true
    (. scripts/test-folder.sh && ctest --preset "$1")
}
unit_tests_of_both_builds() {
    step "release unit tests" unit_tests release && step "sanitizer unit tests" unit_tests sanitize
}

start step packages scripts/install-packages.sh
join
start step "release build" build release
join
start step "deploy build" scripts/deploy-build.sh
join
start step "sanitizer build" build sanitize
join
start step lint scripts/lint.sh
start step "integration tests" scripts/integration.sh
start unit_tests_of_both_builds
join
start step "untrusted clients" scripts/integration.sh --untrusted-clients
join
report_passed
