#!/usr/bin/env python3
"""Agents of wisteriayardd pass on only whole and sound responses of services and engines.

A service and an engine answer by hand. Callers must not get a success for a response that is broken off or unsound.
"""

import argparse
import json
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, Stream, call, free_port, wait_until  # noqa: E402
from platform_standins import reset  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
OK = b"HTTP/1.1 200 OK\r\n"
# More than the kernel buffers of an agent and of a server that does not read, and within the limits on bodies.
LONG_TEXT = "x" * 3_500_000
BREAK_PAUSE_S = 0.05


def whole(body):
    return OK + b"Content-Length: %d\r\n\r\n" % len(body) + body


def broken_responses(body):
    """Name, bytes, and whether the server resets the connection before it has read the request, by kind."""
    part, size = body[:len(body) // 2], len(body)
    lengths = b"Content-Length: %d\r\n\r\n" % size
    yield "reset without a length", OK + b"Connection: close\r\n\r\n" + part, True
    yield "reset without a length, all sent", OK + b"Connection: close\r\n\r\n" + body, True
    yield "end before the length", OK + lengths + part, False
    yield "end without the last chunk", OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (size, body), False
    yield "status 000", b"HTTP/1.1 000 OK\r\n" + lengths + body, False
    for name, line in (("blank in a name", b"X A: 1"), ("blank before the colon", b"X-A : 1"),
                       ("fold", b"X-A: 1\r\n X-B: 2"), ("control byte in a name", b"X\x01A: 1")):
        yield name, OK + line + b"\r\n" + lengths + body, False
        yield name + " of a trailer", (OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n\r\n"
                                       % (size, body, line)), False


class RawServer:
    """Answers each request with given bytes and ends the connection."""

    def __init__(self):
        self.response, self.resets, self.requests = b"", False, 0
        self.listener = socket.create_server(("127.0.0.1", free_port()))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65536)
        self.requests += 1
        head, _, body = received.partition(b"\r\n\r\n")
        lengths = [line.split(b":")[1] for line in head.split(b"\r\n") if line.startswith(b"Content-Length:")]
        if self.resets:
            connection.sendall(self.response)
            time.sleep(BREAK_PAUSE_S)
            return reset(connection)
        while len(body) < int(lengths[0]):
            body += connection.recv(65536)
        connection.sendall(self.response)
        connection.close()


def check_service(deployment, service, key):
    """Guards against a response of a service that is broken or unsound, and is passed on as an answer."""
    address, answer = deployment.entries["entry"], b'{"refill": "done"}'

    def charge(number, text):
        return call(address, "POST", "/services/counter/charges", {"refill": text}, key,
                    {"Idempotency-Key": f"charge-{number}"})
    service.response, service.resets = whole(answer), False
    reply = charge("sound", "a")
    assert (reply.status, reply.body) == (200, answer), (reply.status, reply.body)
    for number, (name, response, resets) in enumerate(broken_responses(answer)):
        service.response, service.resets, before = response, resets, service.requests
        reply = charge(number, LONG_TEXT if resets else "a")
        assert reply.status == 502, (name, reply.status, reply.body)
        assert reply.json()["error"]["outcome"] == "unknown", (name, reply.body)
        assert service.requests == before + 1, (name, "the call was repeated")


def check_engine(deployment, engine, key):
    """Guards against an answer of an engine that is broken or unsound, and whose stream looks complete."""
    event = {"choices": [{"delta": {"content": "word "}, "finish_reason": "stop"}],
             "usage": {"prompt_tokens": 1, "completion_tokens": 1}}
    body = f"data: {json.dumps(event)}\n\ndata: [DONE]\n\n".encode()
    engine.response, engine.resets = whole(body), False
    sound = Stream(deployment.entries["entry"], key, "hi").join()
    assert sound.done and sound.text == "word ", (sound.status, sound.text, sound.error)
    for name, response, resets in broken_responses(body):
        engine.response, engine.resets = response, resets
        stream = Stream(deployment.entries["entry"], key, LONG_TEXT if resets else "hi").join()
        assert not stream.done and stream.error, (name, stream.status, stream.text)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    with Deployment(os.path.abspath(parser.parse_args().bin)) as deployment:
        deployment.start_platform()
        deployment.start_entry("entry", "amman-a", "amman")
        service, engine = RawServer(), RawServer()
        deployment.start_agent("counter-1", "amman-a", "amman", "counter", "service", service.address)
        deployment.start_agent("engine-1", "amman-a", "amman", "scent", "engine", engine.address)
        deployment.wait_ready()
        keys = {}
        for account in ("jordan", "cedar"):
            deployment.ctl("contract", "put", os.path.join(ROOT, "examples", "nadira", account + ".json"))
            keys[account] = deployment.issue_key(account)
        wait_until(lambda: call(deployment.entries["entry"], "GET", "/v1/models", key=keys["cedar"]).status == 200,
                   "the key to be known")
        check_service(deployment, service, keys["jordan"])
        check_engine(deployment, engine, keys["cedar"])
    print("agent_responses: passed")


if __name__ == "__main__":
    main()
