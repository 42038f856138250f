# Functions that run commands as steps, one after another or side by side; sourced by check.sh from the root of the
# repository. The output of a step goes to build/check/ and is printed as one block when the step ends. On exit, all
# steps that still run are ended, and the output of the failed steps is printed last.
set -m # Gives each background job its own process group, so that all of its processes can be ended.
logs=build/check
rm -rf "$logs"
mkdir -p "$logs"
touch "$logs/failed"
started=()
passed=
TIMEFORMAT='took %0Rs, processor %0Us user, %0Ss system'

# step NAME COMMAND...: runs a step; returns its result.
step() {
    local name=$1 result=0
    shift
    echo "== $name: started (${SECONDS}s)"
    { time "$@" > "$logs/$name.log" 2>&1 < /dev/null; } 2> "$logs/$name.time" || result=$?
    {
        flock 9
        if [ "$result" -eq 0 ]; then
            printf '\n== %s: passed (%ss), %s\n' "$name" "$SECONDS" "$(cat "$logs/$name.time")"
            cat "$logs/$name.log"
        else
            printf '\n== %s: FAILED (%ss), output at the end\n' "$name" "$SECONDS"
            echo "$name" >> "$logs/failed"
        fi
    } 9> "$logs/lock"
    return "$result"
}

# start COMMAND...: runs a command in the background; `join` waits for all of them and fails if one failed.
start() {
    "$@" &
    started+=($!)
}
join() {
    local job result=0
    for job in "${started[@]}"; do
        wait "$job" || result=1
    done
    started=()
    return "$result"
}

# Called last; without it, the script reports on exit that it has not passed.
report_passed() {
    passed=yes
    echo "== done (${SECONDS}s)"
}

finish() {
    jobs -p | xargs -r -I{} kill -- -{} 2> /dev/null || true
    [ -z "$passed" ] || return 0
    while read -r name; do
        printf '\n== %s: FAILED\n' "$name"
        cat "$logs/$name.log"
    done < "$logs/failed"
    printf '\n== not all steps passed (%ss); failed: %s\n' "$SECONDS" "$(paste -sd, "$logs/failed")"
}
trap finish EXIT
trap 'exit 1' HUP INT TERM
