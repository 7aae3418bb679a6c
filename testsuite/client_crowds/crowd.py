"""Clients that nobody controls, and endpoints that keep their requests, for the cases of client_crowds."""

import collections
import os
import re
import select
import socket
import sys
import threading
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import HOST, KEY, wait_until  # noqa: E402
from platform_standins import Endpoint, EndpointHandler  # noqa: E402

# Limits hangs only.
TIMEOUT_S = 60
RECEIVE_BYTES = 65536
REQUEST_ID = re.compile(rb"\r\nRequest-Id: ?([^\r]*)\r\n", re.IGNORECASE)
CONTENT_LENGTH = re.compile(rb"\r\nContent-Length: ?([0-9]+)\r\n", re.IGNORECASE)
ESTABLISHED = "01"

# Heads of legal size (max_header_bytes is 16,384) that consist of very many lines. A parser that allocates a node for
# each line uses many times their size.
SHORT_LINES = [b"a:b"] * 3200
NAMED_LINES = [b"n%04d:v" % number for number in range(1700)]
COOKIE_LINES = [b"Cookie:"] * 1500


def head(path="/hold/1", lines=(), request=None, finished=True, method="POST", length=0):
    """Bytes of a request's head. Unfinished heads lack the empty line at their end."""
    request = request or uuid.uuid4().hex[:16]
    fields = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request}",
              f"Deadline-Ms: {TIMEOUT_S * 1000}", f"Authorization: Bearer {KEY}"]
    if length is not None:
        fields.append(f"Content-Length: {length}")
    text = b"\r\n".join([field.encode() for field in fields] + list(lines)) + b"\r\n"
    return text + b"\r\n" if finished else text


def fields_of(raw):
    """Values by lower-case name, in their order, of the lines of a head."""
    fields = collections.defaultdict(list)
    for line in raw.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
        name, value = line.split(b":", 1)
        fields[name.lower()].append(value.strip())
    return fields


class HoldingHandler(EndpointHandler):
    """Keeps the bytes of heads, and answers requests below /hold/ and /flow/ when the gate is open.

    Reads heads itself: the standard library's parser rejects heads of many lines.
    """

    def handle(self):
        self.received = b""
        try:
            while self.handle_one():
                pass
        except OSError:
            pass  # the gateway closed the connection

    def handle_one(self):
        while b"\r\n\r\n" not in self.received:
            if not self.receive():
                return False
        raw, self.received = self.received.split(b"\r\n\r\n", 1)
        raw += b"\r\n\r\n"
        length = CONTENT_LENGTH.search(raw)
        left = int(length[1]) if length else 0
        while len(self.received) < left:
            if not self.receive():
                return False
        self.received = self.received[left:]
        self.serve(raw)
        return True

    def receive(self):
        data = self.connection.recv(RECEIVE_BYTES)
        self.received += data
        return data

    def serve(self, raw):
        endpoint, path = self.server, raw.split(b" ", 2)[1]
        request = REQUEST_ID.search(raw)[1]
        endpoint.runs[request.decode()] += 1
        endpoint.heads[request.decode()] = raw
        fields = b"Request-Id: %s\r\nResponse-Seal: seal-%s\r\n" % (request, request)
        if path.startswith(b"/lines/"):
            # A head without end, of a size that the gateway accepts.
            self.connection.sendall(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n".join(SHORT_LINES))
        if path.startswith((b"/hold/", b"/flow/", b"/lines/")):
            endpoint.gate.wait(TIMEOUT_S)
        if path.startswith(b"/lines/"):
            return self.connection.sendall(b"\r\nContent-Length: 0\r\n\r\n")
        body = b"x" * (endpoint.download_bytes if path.startswith(b"/download/") else 5)
        if endpoint.events:
            fields += b"Content-Type: text/event-stream\r\n"
            body = b"id: 1\ndata: 1\n\n"
        self.connection.sendall(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (fields, len(body)) + body)


def holding_endpoint(endpoint: Endpoint):
    endpoint.RequestHandlerClass = HoldingHandler
    endpoint.gate, endpoint.heads, endpoint.download_bytes = threading.Event(), {}, 0
    return endpoint


class Client:
    """A connection that sends bytes and reads only when it is asked to."""

    def __init__(self, gateway, data=b"", request=None, half_close=False):
        self.request, self.received, self.ended = request, b"", False
        self.socket = socket.create_connection((gateway.ip, gateway.ports[0]), TIMEOUT_S)
        self.send(data)
        if half_close:
            self.socket.shutdown(socket.SHUT_WR)

    def send(self, data):
        """@return whether all was sent; the gateway may close the connection at any time"""
        try:
            self.socket.sendall(data)
            return True
        except OSError:
            self.ended = True
            return False

    def has_answer(self):
        readable = select.poll()
        readable.register(self.socket, select.POLLIN)
        return self.ended or bool(readable.poll(0))

    def read_status(self):
        """Status of the first response; None if the connection ended without one."""
        try:
            while b"\r\n\r\n" not in self.received:
                data = self.socket.recv(RECEIVE_BYTES)
                if not data:
                    return None
                self.received += data
        except ConnectionError:
            return None
        return int(self.received.split(b" ", 2)[1])

    def close(self):
        self.socket.close()


def unread_bytes(gateway):
    """Bytes that the kernel holds because the gateway has not read them."""
    address = "".join("%02X" % int(part) for part in reversed(gateway.ip.split("."))) + ":%04X" % gateway.ports[0]
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in table][1:]
    return sum(int(row[4].split(":")[1], 16) for row in rows if row[1] == address and row[3] == ESTABLISHED)


def wait_until_read(gateway):
    wait_until(lambda: not gateway.alive() or unread_bytes(gateway) == 0, "the gateway to read all", TIMEOUT_S)


def wait_until_held_or_answered(deployment, clients):
    def settled(client):
        return deployment.runs(client.request) > 0 or client.has_answer()
    wait_until(lambda: not deployment.gateways[0].alive() or all(map(settled, clients)),
               "requests to be held or answered", TIMEOUT_S)
