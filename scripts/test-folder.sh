# Has the tests keep their files in memory where the machine has a file system for that; sourced. A sync of the real disk
# can take seconds while other programs write, and control hosts acknowledge nothing before they have synced it. Tests of
# slow disks inject the time of a sync instead.
memory_folder=/dev/shm
if [ -d "$memory_folder" ] && [ -w "$memory_folder" ]; then
    export TMPDIR=$memory_folder
fi
