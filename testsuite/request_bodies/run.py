#!/usr/bin/env python3
"""A caller whose request is refused receives the refusal, also if it sends its whole body first.

An upload is held by the gateway until it is answered; the endpoints answer uploads when the test opens a gate.
"""

import os
import socket
import sys
import threading
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import HOST, KEY, Deployment, run_cases  # noqa: E402
from platform_standins import EndpointHandler  # noqa: E402

# Within the limit of 4 MiB of a configuration without limits.
BODY_BYTES = 4_000_000
TOO_LARGE_BODY_BYTES = 6_000_000
CHUNK_BYTES = 64 * 1024
# Limits hangs only.
TIMEOUT_S = 60


class UploadHandler(EndpointHandler):
    """Discards bodies, so that the test itself needs little memory. Answers uploads when the gate is open."""

    def body(self):
        left = int(self.headers.get("Content-Length", 0))
        while left > 0:
            data = self.rfile.read(min(left, CHUNK_BYTES))
            if not data:
                break
            left -= len(data)
        return b""

    def answer(self, *arguments):
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

    def result(self):
        self.join(TIMEOUT_S)
        return self.status


def too_large_bodies_are_refused(deployment):
    """A connection that is closed while bytes of the body arrive is reset, and its caller loses the refusal."""
    for chunked in (False, True):
        large = Upload(deployment, size=TOO_LARGE_BODY_BYTES, chunked=chunked)
        assert large.result() == 413, (chunked, large.status, large.error)


def make_deployment(bin_folder):
    deployment = Deployment(bin_folder)
    deployment.routes.append({"name": "upload", "prefix": "/upload/", "kind": "non_idempotent", "service": "plain",
                              "timeout_ms": TIMEOUT_S * 1000, "slo_ms": TIMEOUT_S * 1000})
    for endpoint in deployment.endpoints:
        endpoint.RequestHandlerClass = UploadHandler
        endpoint.gate = threading.Event()
    return deployment


run_cases((too_large_bodies_are_refused,), make_deployment, 1)
