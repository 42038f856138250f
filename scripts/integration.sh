#!/usr/bin/env bash
# Runs the integration tests with real processes. Arguments go to pytest.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! compgen -G 'test/test_*.py' > /dev/null; then
    echo "no integration tests yet"
    exit 0
fi
# Tests in KNOWN-RED.txt are passed over and printed; TAMARACKCOVE_RUN_RED=1 runs them.
skipped=()
if [ -z "${TAMARACKCOVE_RUN_RED:-}" ]; then
    while IFS='|' read -r name rest; do
        name=${name%% *}
        case "$name" in
            test/*) skipped+=(--deselect "$name"); echo "known red, passed over: $name |$rest" ;;
        esac
    done < KNOWN-RED.txt
fi
exec /usr/bin/python3 -m pytest -q -p no:cacheprovider test "${skipped[@]}" "$@"
