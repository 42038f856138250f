#!/usr/bin/python3
"""Measures configuration changes against three control hosts on loopback and prints one JSON object.

Each number of watchers is measured with new control hosts, so that the runs do not affect each other.
"""

import argparse
import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test"))

from control_hosts import ControlGroup  # noqa: E402
from harness import BIN, Harness  # noqa: E402


def measure(watchers, changes, adapters, idle_ms):
    with Harness() as harness:
        group = ControlGroup(harness, ["a", "b", "c", "d"])
        group.start()
        group.wait_for_leader()
        arguments = [BIN / "tamarackcove-controlbench", "--watchers", str(watchers), "--changes", str(changes),
                     "--adapters", str(adapters), "--idle-ms", str(idle_ms)]
        for host in group.hosts:
            arguments += ["--control", host.settings["peer_listen"], "--admin", host.settings["listen"]]
        completed = subprocess.run(arguments, stdout=subprocess.PIPE, timeout=600, check=True)
        return json.loads(completed.stdout)


def slope(first, second, path):
    """Returns the cost of one more watcher: the difference of two totals by the difference in watchers."""
    def total(result):
        value = result
        for key in path:
            value = value[key]
        return value * result["watchers"]
    return (total(second) - total(first)) / (second["watchers"] - first["watchers"])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--watchers", type=int, nargs=2, default=[7, 100])
    parser.add_argument("--changes", type=int, default=50)
    parser.add_argument("--adapters", type=int, default=3000)
    parser.add_argument("--idle-ms", type=int, default=10000)
    options = parser.parse_args()
    few, many = (measure(count, options.changes, options.adapters, options.idle_ms) for count in options.watchers)
    slopes = {part: {key: slope(few, many, [part, key]) for key in ("bytes", "watcher_cpu_us", "control_cpu_us")}
              for part in ("per_change_and_watcher", "idle_per_watcher_second")}
    state = subprocess.run([BIN / "tamarackcove-controlbench", "--state", "--adapters", "140000"],
                           stdout=subprocess.PIPE, timeout=600, check=True)
    print(json.dumps({"runs": [few, many], "slopes": slopes, "state": json.loads(state.stdout)}, indent=2))


if __name__ == "__main__":
    main()
