#!/usr/bin/env bash
# TROUBLE=0 leaves out the disruption.
exec timeout -k 5 115 python3 "$(dirname "$0")/run.py"
