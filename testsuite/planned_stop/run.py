#!/usr/bin/env python3
"""A gateway that is stopped by SIGTERM answers each request that it has read, and ends with status 0.

Callers open new connections until the process is gone, as they do where the load balancer has too few other gateways.
"""

import collections
import os
import signal
import socket
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import HOST, Deployment, run_cases, wait_until  # noqa: E402

BODY_BYTES = 100_000
PIECES = 20
# Longer than the time that a gateway gets to stop, `grace_s`.
LONG_TIMEOUT_MS = 9000
SHORT_TIMEOUT_MS = 1500
MIDDLE_TIMEOUT_MS = 2500
# Endpoints answer shortly before the timeout of the route.
SLOW_ANSWER_S = 2.4
ANSWER_TIMEOUT_S = 12
REFUSED, TIMED_OUT = 503, 504


class Request(threading.Thread):
    """A request on a connection of its own, sent in pieces between two times after the start of the thread."""

    def __init__(self, gateway, path, begin_s, end_s, body_bytes):
        super().__init__(daemon=True)
        self.gateway, self.path, self.body_bytes = gateway, path, body_bytes
        self.started, self.begin_s, self.end_s = time.monotonic(), begin_s, end_s
        self.id, self.sent, self.received = uuid.uuid4().hex[:16], False, b""
        # Times before the last piece was sent, and after the end of the connection.
        self.complete_at = self.ended_at = None
        self.start()

    def sleep_until(self, seconds):
        time.sleep(max(0, self.started + seconds - time.monotonic()))

    def run(self):
        self.sleep_until(self.begin_s)
        try:
            with socket.create_connection((self.gateway.ip, self.gateway.ports[0]), ANSWER_TIMEOUT_S) as connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.sendall((f"POST {self.path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {self.id}\r\n"
                                    f"Deadline-Ms: {LONG_TIMEOUT_MS}\r\nConnection: close\r\n"
                                    f"Content-Length: {self.body_bytes}\r\n\r\n").encode())
                for piece in range(1, PIECES + 1):
                    self.sleep_until(self.begin_s + (self.end_s - self.begin_s) * piece / PIECES)
                    self.complete_at = time.monotonic()
                    connection.sendall(b"x" * (self.body_bytes // PIECES))
                self.sent = True
                while True:
                    data = connection.recv(65536)
                    if not data:
                        return
                    self.received += data
        except OSError:
            pass  # the process has ended
        finally:
            self.ended_at = time.monotonic()

    def lasted_s(self):
        return self.ended_at - self.complete_at

    def status(self):
        """Status of a complete response; None without one."""
        head, separator, body = self.received.partition(b"\r\n\r\n")
        length = [line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")]
        if not separator or not length or len(body) != int(length[0].split(b":")[1]):
            return None
        return int(head.split(b" ")[1])


def make_deployment(bin_folder):
    deployment = Deployment(bin_folder)
    deployment.routes += [
        {"name": "upload", "prefix": "/upload/", "kind": "non_idempotent", "service": "plain",
         "timeout_ms": LONG_TIMEOUT_MS, "anonymous": True},
        {"name": "publish", "prefix": "/publish/", "kind": "non_idempotent", "service": "plain",
         "timeout_ms": SHORT_TIMEOUT_MS, "anonymous": True},
        {"name": "order", "prefix": "/order/", "kind": "non_idempotent", "service": "plain",
         "timeout_ms": MIDDLE_TIMEOUT_MS, "anonymous": True}]
    return deployment


def check_answers(deployment, requests):
    """Checks that no request was executed without an answer, and that refusals are true. Counts the answers."""
    for request in requests:
        request.join()
    for request in requests:
        runs = deployment.runs(request.id)
        assert runs <= 1, (request.id, runs)
        assert runs == 0 or request.status() is not None, f"{request.id} was executed and got no answer"
        assert request.status() != REFUSED or runs == 0, f"{request.id} was refused and executed"
    return collections.Counter(request.status() for request in requests)


# Guards against uploads that are read and executed while the process makes its last calls to a store that gives no
# answer, and are then cut off by its end.
def uploads_during_a_stop_are_answered(deployment):
    gateway = deployment.gateways[0]
    for endpoint in deployment.endpoints:
        endpoint.delay_s = 0.3
    assert gateway.call("/charge/1").status == 200  # usage to be written
    deployment.store.silent = True
    gateway.signal(signal.SIGTERM)
    # They end when no other request is in progress, and while the process may make its last calls.
    requests = [Request(gateway, "/publish/1", 0.5 + 0.05 * number, 3.5 + 0.06 * number, BODY_BYTES)
                for number in range(24)]
    answers = check_answers(deployment, requests)
    deployment.store.silent = False
    assert gateway.process.wait(30) == 0, gateway.process.returncode
    # Each upload began well before the end of the process.
    assert answers[None] == 0, answers
    assert answers[200] > 0, answers


# Guards against requests that are accepted so late that the process ends before their timeout, and against a process
# that crashes at its end.
def late_requests_are_answered_or_refused(deployment):
    gateway = deployment.gateways[0]
    for endpoint in deployment.endpoints:
        endpoint.delay_s = SLOW_ANSWER_S
    gateway.signal(signal.SIGTERM)
    # One request or more is being served at each moment, so that the process uses all of its time.
    requests = [Request(gateway, "/order/1", 0.05 * number, 0.05 * number, PIECES) for number in range(140)]
    answers = check_answers(deployment, requests)
    assert gateway.process.wait(30) == 0, gateway.process.returncode
    early = [request.lasted_s() for request in requests if request.status() == TIMED_OUT]
    assert all(lasted >= MIDDLE_TIMEOUT_MS / 1000 for lasted in early), f"timed out before their timeout: {early}"
    read = [request for request in requests if request.sent and request.begin_s < 6]
    assert all(request.status() is not None for request in read), answers
    # Most of the time between the signal and the forced end is used.
    served = [request for request in requests if request.status() == 200]
    assert max(request.begin_s for request in served) > 3, answers
    assert answers[REFUSED] > 0, answers


# Guards against the loss of a request that is only half read when the process ends.
def unfinished_uploads_are_not_executed(deployment):
    gateway = deployment.gateways[0]
    gateway.signal(signal.SIGTERM)
    requests = [Request(gateway, "/upload/1", 0.5, 20, BODY_BYTES) for _ in range(4)]
    assert gateway.process.wait(30) == 0, gateway.process.returncode
    check_answers(deployment, requests)
    assert all(deployment.runs(request.id) == 0 for request in requests)


def stop_with(deployment, signals, prepare=lambda deployment: None):
    """Sends signals to a gateway that serves requests and holds connections; checks its exit status."""
    gateway = deployment.gateways[0]
    idle = socket.create_connection((gateway.ip, gateway.ports[0]))
    requests = [Request(gateway, path, 0.1 * number, 0.1 * number, PIECES)
                for number in range(30) for path in ("/publish/1", "/match/1", "/chat/1")]
    time.sleep(0.5)
    prepare(deployment)
    for number in signals:
        gateway.signal(number)
        time.sleep(0.3)
    status = gateway.process.wait(30)
    check_answers(deployment, requests)
    idle.close()
    deployment.store.silent = deployment.store.down = False
    assert status == 0, status


# Guards against a process that ends by a signal or with an error status because of when or how it is stopped.
def process_ends_with_status_0(deployment):
    gateway = deployment.gateways[0]

    def be_silent(deployment):
        deployment.store.silent = True

    def be_down(deployment):
        deployment.store.down = True

    def restore(deployment):
        deployment.store.restore(deployment.store.copy())
    for signals, prepare in (((signal.SIGTERM, signal.SIGTERM), lambda _: None),
                             ((signal.SIGTERM, signal.SIGHUP), be_silent),
                             ((signal.SIGHUP, signal.SIGINT), be_down), ((signal.SIGTERM,), restore)):
        stop_with(deployment, signals, prepare)
        gateway.start()
        wait_until(gateway.ready, "the gateway to be ready again")


# Guards against coroutines that are destroyed after what they use: the process ended by a signal when requests, uploads
# or connection attempts were in progress at its end.
def work_in_progress_at_the_end_does_no_harm(deployment):
    gateway = deployment.gateways[0]
    for endpoint in deployment.endpoints:
        endpoint.delay_s = LONG_TIMEOUT_MS / 1000
    requests = [Request(gateway, "/upload/1", 0, 0, PIECES) for _ in range(20)]
    requests += [Request(gateway, "/upload/1", 0, LONG_TIMEOUT_MS / 1000, BODY_BYTES) for _ in range(5)]
    wait_until(lambda: sum(deployment.runs(request.id) for request in requests) >= 10, "the requests to be sent")
    gateway.signal(signal.SIGTERM)
    assert gateway.process.wait(30) == 0, gateway.process.returncode
    check_answers(deployment, requests)
    assert [request.status() for request in requests[:20]] == [TIMED_OUT] * 20


def wait_for_reader(pipe):
    """Opens a named pipe for writing as soon as a process reads it."""
    opened = []

    def has_reader():
        try:
            opened.append(os.open(pipe, os.O_WRONLY | os.O_NONBLOCK))
        except OSError:
            return False
        os.set_blocking(opened[0], True)
        return True
    wait_until(has_reader, "the program to read its settings")
    return opened[0]


# Guards against a signal during the start that ends the process before its handler exists.
def signal_during_the_start_ends_the_process_in_order(deployment):
    gateway = deployment.gateways[0]
    gateway.signal(signal.SIGTERM)
    assert gateway.process.wait(30) == 0, gateway.process.returncode
    # A program that waits for its settings has no handler yet.
    pipe = gateway.file + ".pipe"
    os.mkfifo(pipe)
    gateway.start(pipe)
    writer = wait_for_reader(pipe)
    gateway.signal(signal.SIGTERM)
    with os.fdopen(writer, "w") as settings, open(gateway.file) as source:
        settings.write(source.read())
    os.replace(gateway.file, pipe)
    assert gateway.process.wait(30) == 0, gateway.process.returncode
    for delay_s in (0, 0.002, 0.01, 0.1, 0.4):
        gateway.start()
        # Until the program's code runs, the signal has its default action.
        wait_until(lambda: gateway.handles(signal.SIGTERM), "the program to run")
        time.sleep(delay_s)
        gateway.signal(signal.SIGTERM)
        assert gateway.process.wait(30) == 0, delay_s


run_cases((uploads_during_a_stop_are_answered, late_requests_are_answered_or_refused,
           unfinished_uploads_are_not_executed, process_ends_with_status_0,
           work_in_progress_at_the_end_does_no_harm,
           signal_during_the_start_ends_the_process_in_order), make_deployment, 2)
