#!/usr/bin/env python3
"""Malformed, oversized, slow and pipelined requests, request smuggling, half-closed and idle connections.

Guards against requests that are misparsed, held open indefinitely, or that crash the process.
"""

import argparse
import json
import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, call, expected_words, wait_until  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
CHAT = json.dumps({"model": "scent", "messages": [{"role": "user", "content": "hi length=3"}]})


def exchange(address, data, half_close=False):
    """Sends bytes and reads until the server closes the connection."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=60) as connection:
        connection.sendall(data)
        if half_close:
            connection.shutdown(socket.SHUT_WR)
        received = b""
        try:
            while part := connection.recv(65536):
                received += part
        except ConnectionResetError:
            pass
        return received


def head(key, *lines, length=None):
    fields = ["POST /v1/chat/completions HTTP/1.1", "Host: x", f"Authorization: Bearer {key}", *lines]
    if length is not None:
        fields.append(f"Content-Length: {length}")
    return ("\r\n".join(fields) + "\r\n\r\n").encode()


def abuse_cases(key):
    body = CHAT.encode()
    chunked = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return [
        ("not HTTP", b"\x00\x01\x02 hello\r\n\r\n", b"HTTP/1.1 400"),
        ("no method", b" / HTTP/1.1\r\n\r\n", b"HTTP/1.1 400"),
        ("length and chunked", head(key, "Transfer-Encoding: chunked", length=5) + chunked, b"HTTP/1.1 400"),
        ("chunked and length", head(key, "Content-Length: 5", "Transfer-Encoding: chunked") + chunked,
         b"HTTP/1.1 400"),
        ("two lengths", head(key, "Content-Length: 5", length=6) + body, b"HTTP/1.1 400"),
        ("negative length", head(key, length=-1), b"HTTP/1.1 400"),
        ("bare CR in a field", head(key, "X-A: b\rTransfer-Encoding: chunked", length=len(body)) + body,
         b"HTTP/1.1 400"),
        ("space before the colon", head(key, "X-A : b", length=len(body)) + body, b"HTTP/1.1 400"),
        ("folded field", head(key, "X-A: b", " Authorization: Bearer other", "Connection: close",
                              length=len(body)) + body, b"HTTP/1.1 200"),
        ("two keys", head(key, f"Authorization: Bearer {key}", "Connection: close", length=len(body)) + body,
         b"HTTP/1.1 401"),
        ("large header", head(key, "X-A: " + "a" * 20000, length=0), b"HTTP/1.1 431"),
        ("large body", head(key, length=2 * 1024 * 1024) + b"a" * 4096, b"HTTP/1.1 413"),
        ("large chunk", head(key, "Transfer-Encoding: chunked") + b"ffffffffffffffff\r\n", b"HTTP/1.1 4"),
        ("bad chunk size", head(key, "Transfer-Encoding: chunked") + b"zz\r\n", b"HTTP/1.1 400"),
        ("slow header", head(key)[:40], b""),
        ("slow body", head(key, length=100) + b"{", b""),
        ("silent", b"", b""),
    ]


def check_pipelining(address, key):
    """Responses to pipelined requests are complete and in the order of the requests."""
    request = head(key, length=len(CHAT)) + CHAT.encode()
    last = head(key, "Connection: close", length=len(CHAT)) + CHAT.encode()
    received = exchange(address, request * 4 + last)
    assert received.count(b"HTTP/1.1 200") == 5, received
    assert received.count(expected_words("hi length=3", 3).encode()) == 5, received
    # A smuggled second request is executed only if it has its own API key.
    hidden = b"GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n"
    received = exchange(address, head(key, length=len(CHAT)) + CHAT.encode() + hidden)
    assert received.count(b"HTTP/1.1 200") == 1 and received.count(b"HTTP/1.1 401") == 1, received


def check_claims(address, key, engine):
    """Headers and fields that claim an identity, route or priority have no effect."""
    claims = {"X-Account": "jordan", "X-Priority": "0", "X-Tier": "top", "X-Forwarded-For": "10.0.0.1"}
    body = dict(json.loads(CHAT), user="jordan", priority=-5)
    assert call(address, "POST", "/v1/chat/completions", body, key, claims).status == 200
    capture = call(engine, "GET", "/fake/captures").json()[-1]
    sent = json.loads(capture["body"])
    assert sent["priority"] > 0 and "user" not in sent, sent
    assert key not in json.dumps(capture) and "x-account" not in capture["head"].lower(), capture


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    with Deployment(os.path.abspath(parser.parse_args().bin)) as deployment:
        deployment.start_platform()
        deployment.start_entry("entry", "amman-a", "amman", "--read-timeout-ms", "700", "--max-body-bytes",
                               str(1024 * 1024))
        engine = deployment.start_fake("engine", "engine", "--model", "scent", "--token-ms", "1",
                                       "--report-lag-ms", "0")
        deployment.start_agent("engine-1", "amman-a", "amman", "scent", "engine", engine)
        deployment.wait_ready()
        deployment.ctl("contract", "put", os.path.join(ROOT, "examples", "nadira", "cedar.json"))
        key = deployment.issue_key("cedar")
        address = deployment.entries["entry"]
        for name, data, expected in abuse_cases(key):
            received = exchange(address, data)
            assert received.startswith(expected), (name, received[:300])
            if not expected:
                assert received == b"" or received.startswith(b"HTTP/1.1 4"), (name, received[:300])
            print(f"ok {name}")
        # A half-closed connection counts as a disconnected caller: the request is cancelled and the connection closed.
        long_chat = CHAT.replace("length=3", "length=100000")
        received = exchange(address, head(key, length=len(long_chat)) + long_chat.encode(), half_close=True)
        assert received == b"", received
        wait_until(lambda: call(engine, "GET", "/load").json()["running"] == 0, "the engine to stop")
        check_pipelining(address, key)
        check_claims(address, key, engine)
        assert deployment.processes["entry"].poll() is None, "the entry process exited"
        statuses = [call(address, "POST", path, body, key).status for path, body in
                    [("/v1/chat/completions", "{"), ("/nothing", "{}"), ("/services/none/x", "{}")]]
        assert statuses == [400, 404, 404], statuses
    print("http_abuse: passed")


if __name__ == "__main__":
    main()
