#!/usr/bin/env bash
# Prepares the scripts of this review. They start the two programs of the deploy file, which its build puts into target/bin,
# and stand-ins in Python that need only the standard library: nothing is compiled, the stand-ins are only checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
for path in [pathlib.Path("kit_3.py"), pathlib.Path("servers_3.py"), pathlib.Path("starved_3.py"), *sorted(pathlib.Path(".").glob("1[1-5]/case.py"))]:
    compile(path.read_text(), str(path), "exec")
CHECK
echo "the stand-ins of review/11 to review/15 are ready"
