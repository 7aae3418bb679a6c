"""A planned stop of a gateway while callers upload: requests that it reads during its last store calls are sent on to a
server and then cut off.
"""

import collections
import os
import signal
import socket
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import stand  # noqa: E402
from platform_deployment import HOST  # noqa: E402

CALLERS = 24
BODY_BYTES = 100_000
PIECES = 40
# Seconds after SIGTERM: when callers open their channels and begin to send, and when the last bytes are sent.
BEGIN_S, BEGIN_SPREAD_S = 0.6, 1.2
END_S, END_SPREAD_S = 3.45, 1.45
TIME_LIMIT_MS = 6000
SERVER_WORK_S = 0.3
SILENT_BEFORE_S, SILENT_FOR_S = 0.5, 4.5
GRACE_S = 8.0


class Upload(threading.Thread):
    """A caller on a channel of its own that sends a body over a slow link and waits for the answer."""

    def __init__(self, gateway, stop_at, number, record):
        super().__init__(daemon=True)
        self.gateway, self.record = gateway, record
        self.begin = stop_at + BEGIN_S + BEGIN_SPREAD_S * number / CALLERS
        self.end = stop_at + END_S + END_SPREAD_S * number / CALLERS
        self.request = uuid.uuid4().hex[:16]
        self.sent_at, self.ended_at, self.answer, self.received = None, None, None, b""

    def run(self):
        time.sleep(max(0, self.begin - time.monotonic()))
        try:
            channel = socket.create_connection((self.gateway.ip, self.gateway.ports[0]), timeout=1)
        except OSError as error:
            self.record("no channel", self.request, error)
            return
        try:
            channel.settimeout(TIME_LIMIT_MS / 1000)
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            channel.sendall((f"POST /charge/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {self.request}\r\n"
                             f"Deadline-Ms: {TIME_LIMIT_MS}\r\n"
                             f"Content-Length: {BODY_BYTES}\r\n\r\n").encode())
            start = time.monotonic()
            for piece in range(PIECES):
                due = start + (self.end - start) * (piece + 1) / PIECES
                time.sleep(max(0, due - time.monotonic()))
                channel.sendall(b"x" * (BODY_BYTES // PIECES))
            self.sent_at = time.monotonic()
            self.record("sent", self.request)
            while b"\r\n\r\n" not in self.received:
                data = channel.recv(65536)
                if not data:
                    break
                self.received += data
        except OSError as error:
            self.record("channel broke", self.request, error)
        self.ended_at = time.monotonic()
        if b"\r\n\r\n" in self.received:
            self.answer = int(self.received.split(b" ", 2)[1])
        self.record("answered" if self.answer else "closed without an answer", self.request, self.answer or "")
        channel.close()


def main():
    record = stand.Record(__file__)
    routes = [{"name": "charge", "prefix": "/charge/", "kind": "non_idempotent", "service": "plain",
               "timeout_ms": TIME_LIMIT_MS, "anonymous": True}]
    with stand.Deployment(routes) as deployment:
        deployment.start(2)
        for endpoint in deployment.endpoints:
            endpoint.delay_s = SERVER_WORK_S
        gateway = deployment.gateways[0]
        # Requests before the stop, so that the gateway has usage to write, as in use.
        for _ in range(12):
            assert gateway.call("/charge/1", key=None).status == 200
        time.sleep(3.2)
        if stand.TROUBLE:
            deployment.store.silent = True
            record("store silent")
        time.sleep(SILENT_BEFORE_S)
        stop_at = time.monotonic()
        callers = [Upload(gateway, stop_at, number, record) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        if stand.TROUBLE:
            gateway.signal(signal.SIGTERM)
            record("SIGTERM", gateway.name)
        ended = None
        while time.monotonic() < stop_at + GRACE_S:
            if ended is None and not gateway.alive():
                ended = time.monotonic() - stop_at
                record("process ended", f"{ended:.3f} s after SIGTERM", "status", gateway.process.returncode)
            if deployment.store.silent and time.monotonic() > stop_at + SILENT_FOR_S - SILENT_BEFORE_S:
                deployment.store.silent = False
                record("store answers")
            time.sleep(0.01)
        for caller in callers:
            caller.join(10)
        lost = []
        for caller in callers:
            runs = deployment.runs(caller.request)
            record("runs", caller.request, runs, "answer", caller.answer)
            if caller.sent_at is None or caller.answer is not None:
                continue
            # Only a run shows from outside that the gateway had read the request.
            if runs:
                lost.append(caller)
        answers = collections.Counter(caller.answer for caller in callers if caller.sent_at)
        record("answers", dict(answers), "lost", len(lost))
        print(f"{len(lost)} whole requests passed on and cut off; answers {dict(answers)}; process ended after {ended}")
    return stand.BROKEN if lost else stand.HELD


if __name__ == "__main__":
    stand.run(main)
