#!/usr/bin/env bash
# Plays the case against the programs in target/bin; TROUBLE=0 leaves the disruption out. Exit status: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
