"""One request crashes each server in the middle of its stream, after the first event, and comes again once a second. After
the third crash it must be kept from servers."""

import itertools
import pathlib
import socket
import struct
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from kit_2 import LIMITS, TROUBLE, CannotRun, Server, System, main, route  # noqa: E402

MODEL = "m0"
CONTACT_S = 3.0
BACK_AFTER_S = 2.0
SERVERS = 4
DEADLY_REQUESTS, DEADLY_EVERY_S = 25, 1.0
SOUND_EVERY_S = 0.1
EVENTS, EVENT_EVERY_S = 14, 0.04
DEADLY_PATH, DEADLY_PART = "/gen/deadly", "dead0001"
ENGINE = {"slots": 24, "kvCapacity": 213762, "kvBytes": 163840, "linkMbps": 260000.0, "weightsMb": 66600.0,
          "adapterSlots": 13, "loadsPerS": 6.8,
          "models": [{"name": MODEL, "weightsMb": 65100.0, "loadS": 1.9, "adapters": 3000, "adapterMb": 12.0}]}


class Engine(Server):
    """Streams its answer. The deadly request ends it between two events; a new boot with a new id follows 2 s later."""

    def __init__(self, system, play):
        super().__init__(system, "llm", f"i-{next(play.names)}", models=[{"name": MODEL, "version": 1, "adapters": []}],
                         slots=24)
        self.play = play

    def run(self, connection, method, path, headers):
        attempt = headers["tamarackcove-attempt-id"]
        deadly = path == DEADLY_PATH
        if deadly:
            self.play.deadly_arrivals.append((time.monotonic(), self.name, attempt))
        connection.sendall((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                            f"Tamarackcove-Attempt-Id: {attempt}\r\nTamarackcove-Server-Seal: {self.name}.{attempt}\r\n"
                            "\r\n").encode())
        for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            time.sleep(EVENT_EVERY_S)
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            if deadly and TROUBLE:
                time.sleep(EVENT_EVERY_S)
                self.crash(attempt)
                return
        connection.sendall(b"0\r\n\r\n")

    def crash(self, attempt):
        self.play.crashes.append(time.monotonic())
        self.system.record.line(f"{attempt} crashes server {self.name}, crash {len(self.play.crashes)}")
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                pass
        self.stop()
        threading.Timer(BACK_AFTER_S, lambda: self.system.add(Engine(self.system, self.play))).start()


class Play:
    def __init__(self, record):
        self.record = record
        self.names = itertools.count(1)
        self.crashes, self.deadly_arrivals = [], []
        self.sound_whole, self.sound_cut = 0, 0
        self.stopping = threading.Event()

    def ask(self, system, path, part, attempt, number):
        """Sends one request and reads its answer: its status, and whether the answer is whole."""
        with socket.create_connection((system.entry_hosts[number % len(system.entry_hosts)], system.port),
                                      timeout=2) as client:
            client.settimeout(6)
            client.sendall((f"POST {path} HTTP/1.1\r\nHost: desk.example\r\nTamarackcove-Attempt-Id: {attempt}\r\n"
                            f"Tamarackcove-Model: {MODEL}\r\nTamarackcove-Token-Usage: 200,70\r\n"
                            f"Tamarackcove-Prompt-Prefix: 5c1e07a2:93,{part}:107\r\nTamarackcove-Deadline-Ms: 5000\r\n"
                            "Content-Length: 6\r\n\r\nprompt").encode())
            answer = b""
            try:
                while b"\r\n0\r\n\r\n" not in answer and b"content-length: 2\r\n" not in answer:
                    piece = client.recv(65536)
                    if not piece:
                        break
                    answer += piece
            except OSError:
                pass
        status = answer.split(b" ")[1].decode() if answer else "none"
        return status, b"\r\n0\r\n\r\n" in answer

    def send_sound(self, system, number):
        try:
            status, whole = self.ask(system, f"/once/{number}", f"{number:08x}", f"s{number:05d}", number)
        except OSError:
            return
        if status == "200":
            self.sound_whole += whole
            self.sound_cut += not whole
            if not whole:
                self.record.line(f"the sound stream s{number:05d} was cut")

    def keep_sending_sound(self, system):
        for number in itertools.count(1):
            if self.stopping.wait(SOUND_EVERY_S):
                return
            threading.Thread(target=self.send_sound, args=(system, number), daemon=True).start()

    def send_deadly(self, system, number):
        attempt = f"d{number:04d}"
        self.record.line(f"client sends the request {attempt}")
        try:
            status, whole = self.ask(system, DEADLY_PATH, DEADLY_PART, attempt, number)
        except OSError as error:
            status, whole = type(error).__name__, False
        self.record.line(f"client got {status} for {attempt}, {'whole' if whole else 'not whole'}")


def play(record):
    system = System(record, controls=3, entries=2)
    played = Play(record)
    try:
        for _ in range(SERVERS):
            system.add(Engine(system, played))
        generation = {"gapGoalMs": 600, "resumable": True}
        system.start({"version": 1,
                      "services": [{"name": "llm", "healthPath": "/healthz", "maxConns": 200, "engine": ENGINE}],
                      "routes": [route("gen", "streaming", "llm", 5000, attempts=2, **generation),
                                 route("once", "streaming", "llm", 5000, gapGoalMs=600)], "limits": LIMITS})
        time.sleep(5)
        threading.Thread(target=played.keep_sending_sound, args=(system,), daemon=True).start()
        time.sleep(2)
        for number in range(DEADLY_REQUESTS):
            threading.Thread(target=played.send_deadly, args=(system, number), daemon=True).start()
            time.sleep(DEADLY_EVERY_S)
        time.sleep(2)
        played.stopping.set()
        if system.ended_processes() or played.sound_whole == 0:
            raise CannotRun(f"{system.ended_processes()}, {played.sound_whole} sound streams")
        late = []
        if len(played.crashes) >= 3:
            late = [attempt for at, _, attempt in played.deadly_arrivals if at > played.crashes[2] + CONTACT_S]
        record.say(f"{len(played.crashes)} crashes; the request reached servers {len(late)} times later than {CONTACT_S} s "
                   f"after the third, 3 are allowed; of the other streams {played.sound_whole} were whole and "
                   f"{played.sound_cut} cut")
        return len(late) <= 3
    finally:
        played.stopping.set()
        system.close()


main(HERE, play)
