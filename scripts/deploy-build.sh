#!/usr/bin/env bash
# Builds a clean clone with the build command in deploy/system.toml, as the platform does, and checks that each program
# it names starts.
set -euo pipefail
cd "$(dirname "$0")/.."
clone=$(mktemp -d)
trap 'rm -rf "$clone"' EXIT
git clone -q . "$clone/repository"
cd "$clone/repository"
command=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$command" > "$clone/build.log" 2>&1 || { tail -n 30 "$clone/build.log"; exit 1; }
while read -r program; do
    "$program" --version > /dev/null || { echo "deploy build: $program does not run"; exit 1; }
done < <(sed -n 's/^run = "\([^ ]*\) .*$/\1/p' deploy/system.toml)
echo "deploy build: programs built from a clean clone"
