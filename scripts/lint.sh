#!/usr/bin/env bash
# Checks the formatting of all files and runs clang-tidy on the .cpp files given as arguments, or on all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t formatted < <(git ls-files -co --exclude-standard '*.h' '*.cpp')
clang-format --dry-run --Werror "${formatted[@]}"
cmake --preset lint > /dev/null
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
    # TestMain.cpp contains the implementation of doctest and takes far longer than any other file.
    files=(unittests/TestMain.cpp)
    mapfile -t -O 1 files < <(git ls-files -co --exclude-standard 'lib/*.cpp' 'platform/*.cpp' 'tools/*.cpp' \
        'unittests/*.cpp' ':!unittests/TestMain.cpp')
fi
if ! printf '%s\n' "${files[@]}" | xargs -P "${LINT_JOBS:-8}" -I{} clang-tidy --quiet -p build/lint {} 2> build/lint/tidy.err; then
    echo "lint: clang-tidy found the problems above"
    exit 1
fi
echo "lint: ${#files[@]} files clean"
