#!/usr/bin/env bash
# Runs the integration tests with real processes. Arguments are passed to pytest. The tests of untrusted clients bound the
# memory of processes and run apart from other load: only with --untrusted-clients as the first argument, and then alone.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! compgen -G 'test/test_*.py' > /dev/null; then
    echo "no integration tests yet"
    exit 0
fi
# Tests listed in KNOWN-RED.txt are printed and deselected, unless TAMARACKCOVE_RUN_RED is set.
skipped=()
if [ -z "${TAMARACKCOVE_RUN_RED:-}" ]; then
    while IFS='|' read -r name rest; do
        name=${name%% *}
        case "$name" in
            test/*) skipped+=(--deselect "$name"); echo "known red, deselected: $name |$rest" ;;
        esac
    done < KNOWN-RED.txt
fi
untrusted=test/test_untrusted_clients.py
selected=(test "--ignore=$untrusted")
if [ "${1:-}" = --untrusted-clients ]; then
    shift
    selected=("$untrusted")
fi
. scripts/test-folder.sh
exec /usr/bin/python3 -m pytest -q -p no:cacheprovider "${selected[@]}" "${skipped[@]}" "$@"
