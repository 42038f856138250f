"""Starts the processes of tamarackcove with generated settings for integration tests and the demo.

The kernel chooses the ports: the harness binds a socket to port 0 and keeps it bound without listening, and the
process binds the same port with SO_REUSEADDR. No other process can take the port in between.
"""

import ctypes
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

import requests

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("TAMARACKCOVE_BIN", ROOT / "build" / "release" / "bin"))
READY_TIMEOUT = 20


PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


def set_parent_death_signal():
    """Runs in the child process before exec: the kernel kills the child when the test run ends, also after a crash."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def wait_for(condition, timeout, failure, interval=0.05):
    """Calls `condition` every `interval` seconds and returns its first true value.

    Raises an AssertionError with `failure` if there is none within `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"after {timeout} s: {failure}")
        time.sleep(interval)


class Process:
    """A child process whose log is kept in memory and in a file."""

    def __init__(self, binary, settings, folder, name):
        self.binary = binary
        self.settings = settings
        self.name = name
        self.settings_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.lines = []
        self.popen = None
        self.reader = None

    def start(self, wait=True):
        assert self.popen is None or self.popen.poll() is not None, f"{self.name} is already running"
        self.settings_path.write_text(json.dumps(self.settings, indent=1))
        first_line = len(self.lines)
        self.popen = subprocess.Popen(
            [BIN / self.binary, "--settings", self.settings_path],
            stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True,
            errors="replace", start_new_session=True, preexec_fn=set_parent_death_signal)
        self.reader = threading.Thread(target=self._copy_log, args=(self.popen.stderr,), daemon=True)
        self.reader.start()
        if wait:
            self.wait_ready(first_line)
        return self

    def _copy_log(self, stream):
        with stream, open(self.log_path, "a") as log:
            for line in stream:
                self.lines.append(line.rstrip("\n"))
                log.write(line)
                log.flush()

    def wait_ready(self, first_line=0, timeout=READY_TIMEOUT):
        def ready():
            if self.popen.poll() is not None:
                raise AssertionError(f"{self.name} exited with code {self.popen.returncode} before it was ready:\n"
                                     f"{self.tail()}")
            return any("event=ready" in line for line in self.lines[first_line:])
        try:
            wait_for(ready, timeout, f"{self.name} is not ready")
        except AssertionError as error:
            raise AssertionError(f"{error}\n{self.tail()}") from None

    def tail(self, count=15):
        return "\n".join(self.lines[-count:])

    def grep(self, text):
        return [line for line in self.lines if text in line]

    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def send_signal(self, signal_number):
        """Sends a signal to this process, not to its process group; does nothing if it is not running."""
        if self.running():
            self.popen.send_signal(signal_number)

    def freeze(self):
        self.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.send_signal(signal.SIGCONT)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait(10)
            self.reader.join(5)

    def terminate(self, timeout=30):
        """Sends SIGTERM, waits until the process exits and returns its exit code."""
        self.send_signal(signal.SIGTERM)
        code = self.popen.wait(timeout)
        self.reader.join(5)
        return code

    def restart(self):
        self.kill()
        return self.start()


class LoadRun:
    """A load generator that runs in the background, with its summary and a CSV file of its requests."""

    def __init__(self, settings, folder, name, arguments=()):
        self.json_path = folder / f"{name}.out.json"
        self.csv_path = folder / f"{name}.csv"
        settings_path = folder / f"{name}.json"
        settings_path.write_text(json.dumps(settings, indent=1))
        self.log = open(folder / f"{name}.log", "w")
        self.popen = subprocess.Popen(
            [BIN / "tamarackcove-loadgen", "--settings", settings_path, "--json", self.json_path, "--csv",
             self.csv_path, *arguments],
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log, start_new_session=True,
            preexec_fn=set_parent_death_signal)

    def finish(self, timeout=90):
        """Waits until the load generator exits; returns its summary and its exit code under `exit_code`."""
        code = self.popen.wait(timeout)
        self.log.close()
        summary = json.loads(self.json_path.read_text())
        summary["exit_code"] = code
        return summary

    def bad_rows(self, limit=10):
        """Returns the CSV header and the first rows of requests whose outcome is not `ok`."""
        rows = self.csv_path.read_text().splitlines()
        return "\n".join([rows[0]] + [row for row in rows[1:] if ",ok," not in row][:limit])


class Harness:
    """Owns the processes of one test; `close` kills those that still run."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="tamarackcove-"))
        self.processes = []
        self.loads = []
        self.reserved_sockets = []
        self.keep_logs = False

    def __enter__(self):
        return self

    def __exit__(self, kind, value, traceback):
        self.close(keep_logs=kind is not None)

    def reserve_address(self):
        """Returns a loopback address whose port stays bound until `close`, so that no unrelated process gets it."""
        reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind(("127.0.0.1", 0))
        self.reserved_sockets.append(reservation)
        return f"127.0.0.1:{reservation.getsockname()[1]}"

    def add_process(self, binary, settings, name):
        """Returns a process that the harness kills when it is closed; the caller starts it."""
        process = Process(binary, settings, self.folder, name)
        self.processes.append(process)
        return process

    def start_load(self, settings, name=None, arguments=()):
        """Starts a load generator in the background and returns it."""
        run = LoadRun(settings, self.folder, name or f"load-{len(self.loads)}", arguments)
        self.loads.append(run)
        return run

    def close(self, keep_logs=False):
        for load in self.loads:
            if load.popen.poll() is None:
                load.popen.kill()
                load.popen.wait(10)
        for process in reversed(self.processes):
            if process.running():
                process.popen.kill()
        for process in self.processes:
            if process.popen is not None:
                process.popen.wait(10)
                process.reader.join(5)
        for reservation in self.reserved_sockets:
            reservation.close()
        if keep_logs or self.keep_logs:
            print(f"logs kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def post(address, path, body, timeout=10, **headers):
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    return requests.post(f"http://{address}{path}", json=body, timeout=timeout, headers=names)


def get(address, path, timeout=10):
    return requests.get(f"http://{address}{path}", timeout=timeout)


def metric(address, name, timeout=5):
    """Returns the sum of all samples on /metrics whose name begins with `name`."""
    total = 0.0
    for line in get(address, "/metrics", timeout).text.splitlines():
        if line.startswith(name):
            total += float(line.rsplit(" ", 1)[1])
    return total
