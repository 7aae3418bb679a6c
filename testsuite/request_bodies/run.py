#!/usr/bin/env python3
"""Request bodies that a gateway holds at the same time stay within its memory limit. A request that does not fit is
refused, and its caller receives the refusal. Bodies may arrive in any parts.

An upload is held by the gateway until it is answered; the endpoints answer uploads when the test opens a gate.
"""

import itertools
import json
import os
import random
import signal
import socket
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import HOST, KEY, Deployment, run_cases, wait_until  # noqa: E402
from platform_standins import EndpointHandler  # noqa: E402

MEBIBYTE = 1024 * 1024
MEMORY_MB = 110
# Within the limit of 4 MiB of a configuration without limits.
BODY_BYTES = 4_000_000
TOO_LARGE_BODY_BYTES = 6_000_000
# Together far above the memory limit.
UPLOADS = 45
# Share of the memory limit that request bodies can use at least.
LEAST_SHARE = 0.5
SMALL_REQUESTS = 100
SMALL_BODY_BYTES = 2000
ROUNDS, UPLOADS_OF_ROUND, SIZE_SEED = 8, 60, 1
CHUNK_BYTES = 64 * 1024
# Limits hangs only.
TIMEOUT_S = 60
# Bodies in chunks, and what they hold.
CHUNKED_BODIES = ((b"0\r\n\r\n", ""), (b"00\r\n\r\n", ""), (b"0;a=b\r\n\r\n", ""), (b"0\r\nX-A: 1\r\n\r\n", ""),
                  (b"5\r\n0\r\n\r\n\r\n0\r\n\r\n", "0\r\n\r\n"))
# Sizes of the first part of such a body; the others have one byte each.
FIRST_PART_BYTES = (1, 2, 3)
# Lets the gateway receive the parts one by one.
PART_PAUSE_S = 0.01


class UploadHandler(EndpointHandler):
    """Discards bodies of uploads and downloads, so that the test itself needs little memory. Answers uploads when the
    gate is open.
    """

    def body(self):
        if self.path.startswith("/charge/"):
            return super().body()
        left = int(self.headers.get("Content-Length", 0))
        while left > 0:
            data = self.rfile.read(min(left, CHUNK_BYTES))
            if not data:
                break
            left -= len(data)
        return b""

    def answer(self, *arguments):
        if self.path.startswith("/download/"):
            return super().answer(int(self.path.split("/")[-1]), {"error": "x" * BODY_BYTES}, *arguments[2:])
        if self.path.startswith("/upload/"):
            self.server.gate.wait(TIMEOUT_S)
        return super().answer(*arguments)


class Upload(threading.Thread):
    """Sends a request with a large body, all of it before it reads the answer."""

    def __init__(self, deployment, size=BODY_BYTES, chunked=False):
        super().__init__(daemon=True)
        self.deployment, self.gateway = deployment, deployment.gateways[0]
        self.size, self.chunked, self.request = size, chunked, uuid.uuid4().hex[:16]
        self.status, self.head, self.error = None, b"", None
        self.start()

    def run(self):
        framing = "Transfer-Encoding: chunked" if self.chunked else f"Content-Length: {self.size}"
        head = (f"POST /upload/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {self.request}\r\n"
                f"Deadline-Ms: {TIMEOUT_S * 1000}\r\nAuthorization: Bearer {KEY}\r\n{framing}\r\n\r\n")
        try:
            with socket.create_connection((self.gateway.ip, self.gateway.ports[0]), TIMEOUT_S) as connection:
                connection.sendall(head.encode())
                self.send_body(connection)
                received = b""
                while b"\r\n\r\n" not in received:
                    data = connection.recv(65536)
                    if not data:
                        return
                    received += data
                self.head = received.split(b"\r\n\r\n")[0]
                self.status = int(self.head.split(b" ", 2)[1])
        except OSError as error:
            self.error = error

    def send_body(self, connection):
        left = self.size
        while left > 0:
            data = b"x" * min(left, CHUNK_BYTES)
            left -= len(data)
            connection.sendall(b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data)
        if self.chunked:
            connection.sendall(b"0\r\n\r\n")

    def reached_endpoint(self):
        return self.deployment.runs(self.request) > 0

    def wait_until_held_or_answered(self):
        wait_until(lambda: self.reached_endpoint() or not self.is_alive(), "the upload to be held or answered")
        return self

    def result(self):
        self.join(TIMEOUT_S)
        return self.status


def fill(deployment, **options):
    """Starts uploads until one is refused. @return the uploads that the gateway holds, and the refused one or None"""
    held = []
    for _ in range(UPLOADS):
        upload = Upload(deployment, **options).wait_until_held_or_answered()
        if not upload.reached_endpoint():
            return held, upload
        held.append(upload)
    return held, None


def open_gate(deployment):
    for endpoint in deployment.endpoints:
        endpoint.gate.set()


def close_gate(deployment):
    for endpoint in deployment.endpoints:
        endpoint.gate.clear()


def check_refusal(upload):
    assert upload.status == 503, (upload.status, upload.error)
    assert b"\r\nretry-after:" in upload.head.lower(), upload.head
    assert upload.request.encode() in upload.head, upload.head
    assert not upload.reached_endpoint(), "a refused request was executed"


def check_memory(deployment):
    gateway = deployment.gateways[0]
    assert gateway.alive(), "the gateway has ended"
    assert gateway.peak_memory() < MEMORY_MB * MEBIBYTE, f"{gateway.peak_memory() / MEBIBYTE:.1f} MiB"


def check_filled(deployment, **options):
    held, refused = fill(deployment, **options)
    check_memory(deployment)
    assert refused, f"{len(held)} uploads are held at the same time"
    check_refusal(refused)
    assert len(held) * BODY_BYTES >= LEAST_SHARE * MEMORY_MB * MEBIBYTE, f"only {len(held)} uploads are held"
    open_gate(deployment)
    statuses = [upload.result() for upload in held]
    assert statuses == [200] * len(held), statuses
    # The memory of answered requests is available again.
    assert Upload(deployment, **options).result() == 200
    check_memory(deployment)


def bodies_stay_within_memory(deployment):
    """Many callers send bodies of the permitted size; the gateway was killed because of its memory."""
    check_filled(deployment)


def chunked_bodies_stay_within_memory(deployment):
    """As before, with bodies whose size is not known in advance."""
    check_filled(deployment, chunked=True)


def concurrent_uploads_are_answered(deployment):
    """Callers that send all at once get their answer or a refusal; each refusal is true."""
    uploads = [Upload(deployment) for _ in range(UPLOADS)]
    for upload in uploads:
        upload.wait_until_held_or_answered()
    check_memory(deployment)
    open_gate(deployment)
    for upload in uploads:
        if upload.result() != 200:
            check_refusal(upload)
    assert any(upload.status == 200 for upload in uploads)


def too_large_bodies_are_refused(deployment):
    """A connection that is closed while bytes of the body arrive is reset, and its caller loses the refusal."""
    for chunked in (False, True):
        large = Upload(deployment, size=TOO_LARGE_BODY_BYTES, chunked=chunked)
        assert large.result() == 413, (chunked, large.status, large.error)


def refused_caller_does_not_delay_a_stop(deployment):
    """A caller that got its refusal and keeps its connection open has no request that a stopping gateway must answer."""
    gateway = deployment.gateways[0]
    with socket.create_connection((gateway.ip, gateway.ports[0]), TIMEOUT_S) as connection:
        connection.sendall((f"POST /upload/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                            f"Content-Length: {TOO_LARGE_BODY_BYTES}\r\n\r\n").encode())
        assert connection.recv(65536).startswith(b"HTTP/1.1 413 ")
        gateway.signal(signal.SIGTERM)
        wait_until(lambda: not gateway.alive(), "the end of the gateway")
    ended = gateway.events("requests_ended")
    assert [event["busy_connections"] for event in ended] == [0], ended


def refusals_reach_callers_that_send_first(deployment):
    """As before, where there is no memory for the body."""
    held, _ = fill(deployment)
    for chunked in (False, True):
        check_refusal(Upload(deployment, chunked=chunked).wait_until_held_or_answered())
    open_gate(deployment)
    assert {upload.result() for upload in held} == {200}


def unread_responses_stay_within_memory(deployment):
    """Callers that don't read must not make the gateway hold more than it has memory for. The error responses of
    endpoints were not limited.
    """
    gateway = deployment.gateways[0]
    for status in (200, 500):
        connections = []
        for number in range(UPLOADS):
            connection = socket.create_connection((gateway.ip, gateway.ports[0]), TIMEOUT_S)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BODY_BYTES)
            request = f"{status}-{number}"
            connection.sendall((f"POST /download/{status} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\n"
                                f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n").encode())
            connections.append(connection)
            # The gateway begins to answer when it has the whole response, or no memory for it.
            assert connection.recv(12, socket.MSG_PEEK), "no answer"
        check_memory(deployment)
        answers = [connection.recv(12).split()[1] for connection in connections]
        assert set(answers) == {b"%d" % status, b"502"}, answers
        for connection in connections:
            connection.close()


def small_requests_are_served_beside_uploads(deployment):
    """Uploads that hold all memory for bodies must not make the gateway refuse small requests."""
    held, refused = fill(deployment)
    assert refused
    for _ in range(SMALL_REQUESTS):
        answer = deployment.gateways[0].call("/lookup/1", body=b"x" * SMALL_BODY_BYTES, timeout=TIMEOUT_S)
        assert answer.status == 200, answer.status
    open_gate(deployment)
    assert {upload.result() for upload in held} == {200}


def memory_is_reused_for_other_sizes(deployment):
    """Memory of answered bodies that new ones of other sizes can't use would exceed the limit in the end."""
    sizes = random.Random(SIZE_SEED)
    for _ in range(ROUNDS):
        close_gate(deployment)
        uploads = [Upload(deployment, sizes.randrange(BODY_BYTES // 20, BODY_BYTES)) for _ in range(UPLOADS_OF_ROUND)]
        for upload in uploads:
            upload.wait_until_held_or_answered()
        open_gate(deployment)
        statuses = {upload.result() for upload in uploads}
        assert statuses == {200, 503}, statuses
        check_memory(deployment)


# Guards against an empty body in chunks that ends the process, as its bytes arrive one by one.
def chunked_bodies_arrive_in_any_parts(deployment):
    gateway = deployment.gateways[0]
    for (text, body), first in itertools.product(CHUNKED_BODIES, FIRST_PART_BYTES):
        fields = ("POST /charge/1 HTTP/1.1", f"Host: {HOST}", f"Authorization: Bearer {KEY}", "Connection: close",
                  "Request-Id: " + uuid.uuid4().hex[:16], "Transfer-Encoding: chunked")
        answer = b""
        with socket.create_connection((gateway.ip, gateway.ports[0]), TIMEOUT_S) as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                connection.sendall(("\r\n".join(fields) + "\r\n\r\n").encode())
                for part in [text[:first], *(bytes([byte]) for byte in text[first:])]:
                    time.sleep(PART_PAUSE_S)
                    connection.sendall(part)
                while data := connection.recv(65536):
                    answer += data
            except OSError as error:
                answer += str(error).encode()
        head, _, received = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), f"{text}, {first} bytes first: {answer}"
        assert json.loads(received)["echo"] == body, f"{text}, {first} bytes first: {answer}"


def make_deployment(bin_folder):
    deployment = Deployment(bin_folder, memory_mb=MEMORY_MB)
    for name in ("upload", "download"):
        deployment.routes.append({"name": name, "prefix": f"/{name}/", "kind": "non_idempotent", "service": "plain",
                                  "timeout_ms": TIMEOUT_S * 1000, "slo_ms": TIMEOUT_S * 1000})
    for endpoint in deployment.endpoints:
        endpoint.RequestHandlerClass = UploadHandler
        endpoint.gate = threading.Event()
    return deployment


run_cases((bodies_stay_within_memory, chunked_bodies_stay_within_memory, concurrent_uploads_are_answered,
           too_large_bodies_are_refused, refused_caller_does_not_delay_a_stop,
           refusals_reach_callers_that_send_first,
           unread_responses_stay_within_memory, small_requests_are_served_beside_uploads,
           memory_is_reused_for_other_sizes, chunked_bodies_arrive_in_any_parts),
          make_deployment, 1)
