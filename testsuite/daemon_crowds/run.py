#!/usr/bin/env python3
"""Crowds of clients that nobody controls, at an entry of wisteriayardd. Whatever they send, the process stays alive and
within its limits of memory and descriptors, and answers an ordinary request afterwards.

Neither times nor the share of the crowd's requests that are served are checked.
"""

import argparse
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, call, wait_until  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
MEBIBYTE = 1024 * 1024
TIMEOUT_S = 60
# Bounds of all cases.
MAX_MEMORY_MB = 64
MAX_DESCRIPTORS = 600
MAX_CONNECTIONS = 450
MAX_BODY_BYTES = MEBIBYTE
# A member of a crowd that sends no more bytes keeps its memory for this time.
READ_TIMEOUT_MS = 5000
CROWD = 400
# More than MAX_CONNECTIONS.
SILENT_CROWD = 700
BODY_CROWD = 120
SMALL_CROWD = 100
ENDLESS_BYTES = MEBIBYTE
BLOCK_BYTES = 16 * 1024
# Heads of legal size (16 KiB) that consist of very many lines. A parser that allocates a node for each line uses many
# times their size.
SHORT_LINES = b"a:b\r\n" * 3200
PATH = b"/services/counter/charges"
CHAT_PATH = b"/v1/chat/completions"
# Chat requests of the allowed size whose document takes many times their size: a value of two or three bytes becomes a
# node with memory of its own.
NESTED_VALUES = {"objects": (b"[", b"{},", b"0]"), "lists": (b"[", b"[],", b"0]"), "numbers": (b"[", b"0,", b"0]")}
# Waves of callers that leave while their requests are on their way to an agent.
WAVES = 8
WAVE_CROWD = 15


def chat_body(start, value, end):
    """A chat request of the largest allowed size with a field that the entry does not read."""
    first = b'{"model":"scent","max_tokens":8,"messages":[{"role":"user","content":"length=1 x"}],"metadata":' + start
    last = end + b"}"
    body = first + value * ((MAX_BODY_BYTES - len(first) - len(last)) // len(value)) + last
    return body + b" " * (MAX_BODY_BYTES - len(body))


def head(key, lines=b"", length=0, finished=True, path=PATH):
    text = (b"POST " + path + b" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key.encode()
            + b"\r\nContent-Length: %d\r\n" % length + lines)
    return text + b"\r\n" if finished else text


def connect(address):
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), TIMEOUT_S)


def send(connection, data):
    """Sends bytes; the entry may close the connection at any time."""
    try:
        connection.sendall(data)
        return True
    except OSError:
        return False


def read_response(connection):
    """@return status and body of a response; None if the connection ended without one"""
    received = b""
    connection.settimeout(TIMEOUT_S)
    try:
        while b"\r\n\r\n" not in received:
            data = connection.recv(65536)
            if not data:
                return None
            received += data
        fields, body = received.split(b"\r\n\r\n", 1)
        length = next(int(line.split(b":")[1]) for line in fields.split(b"\r\n")
                      if line.lower().startswith(b"content-length:"))
        while len(body) < length:
            data = connection.recv(65536)
            if not data:
                return None
            body += data
    except TimeoutError as error:
        raise AssertionError(f"neither a response nor an end of the connection within {TIMEOUT_S} s") from error
    except ConnectionError:
        return None
    return int(fields.split(b" ", 2)[1]), fields, body


class Case:
    def __init__(self, deployment):
        self.deployment = deployment
        deployment.start_platform()
        deployment.start_entry("entry", "amman-a", "amman", "--read-timeout-ms", str(READ_TIMEOUT_MS),
                               "--max-body-bytes", str(MAX_BODY_BYTES), "--max-connections", str(MAX_CONNECTIONS),
                               "--traffic-threads", "1", *ENTRY_ARGUMENTS)
        self.service = deployment.start_fake("counter", "service", "--service", "counter")
        deployment.start_agent("counter-0", "amman-a", "amman", "counter", "service", self.service)
        deployment.wait_ready()
        deployment.ctl("contract", "put", os.path.join(ROOT, "examples", "nadira", "jordan.json"))
        self.key = deployment.issue_key("jordan")
        self.address = deployment.entries["entry"]
        self.check_ordinary_request()

    def peak_memory(self):
        with open(f"/proc/{self.deployment.processes['entry'].pid}/status") as status:
            return next(int(line.split()[1]) * 1024 for line in status if line.startswith("VmHWM:"))

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.deployment.processes['entry'].pid}/fd"))

    def check_limits(self):
        process = self.deployment.processes["entry"]
        assert process.poll() is None, "the entry has ended"
        descriptors = self.descriptors()
        assert descriptors <= MAX_DESCRIPTORS, f"{descriptors} descriptors"
        peak = self.peak_memory() / MEBIBYTE
        assert peak <= MAX_MEMORY_MB, f"peak {peak:.1f} MiB"

    def check_ordinary_request(self):
        """Ordinary callers are answered. While a crowd occupies the memory or the endpoint they may be refused."""
        def is_served():
            try:
                reply = call(self.address, "POST", PATH.decode(), {"refill": "x"}, self.key)
            except OSError:
                return False
            assert reply.status in (200, 503), (reply.status, reply.body)
            return reply.status == 200
        wait_until(is_served, "an ordinary request to be served", TIMEOUT_S)

    def wait_until_read(self):
        """Waits until the entry has read all bytes that the kernel holds for it."""
        address = ":%04X" % int(self.address.rsplit(":", 1)[1])

        def unread():
            with open("/proc/net/tcp") as table:
                rows = [line.split() for line in table][1:]
            return sum(int(row[4].split(":")[1], 16) for row in rows if row[1].endswith(address) and row[3] == "01")
        wait_until(lambda: self.deployment.processes["entry"].poll() is not None or unread() == 0,
                   "the entry to read all", TIMEOUT_S)

    def executions(self):
        return len(call(self.service, "GET", "/fake/executions").json())

    def run_bytes(self, data, count):
        """A crowd sends the same bytes and reads nothing."""
        crowd = [connect(self.address) for _ in range(count)]
        for each in crowd:
            send(each, data)
        self.wait_until_read()
        self.check_limits()
        self.check_ordinary_request()
        self.check_limits()
        return crowd

    def run_endless(self, start, block):
        crowd = [connect(self.address) for _ in range(SMALL_CROWD)]
        for each in crowd:
            send(each, start)
        for _ in range(ENDLESS_BYTES // len(block)):
            crowd = [each for each in crowd if send(each, block)]
        self.check_limits()
        self.check_ordinary_request()
        self.check_limits()


def heads_of_short_lines(case):
    """Complete heads whose body never comes: the parser's nodes of the head lived until the request ended."""
    case.run_bytes(head(case.key, SHORT_LINES, length=10), CROWD)


def unfinished_heads_of_short_lines(case):
    case.run_bytes(head(case.key, SHORT_LINES, finished=False), CROWD)


def heads_of_one_large_line(case):
    case.run_bytes(head(case.key, b"x:" + b"y" * 16000 + b"\r\n", length=10), CROWD)


def endless_line(case):
    case.run_endless(b"GET /", b"x" * BLOCK_BYTES)


def endless_empty_lines(case):
    case.run_endless(b"", b"\r\n" * (BLOCK_BYTES // 2))


def endless_chunk_extension(case):
    start = head(case.key).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    case.run_endless(start + b"1;", b"x" * BLOCK_BYTES)


def many_trailer_lines(case):
    start = head(case.key).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    case.run_endless(start + b"1\r\nx\r\n0\r\n", b"a:b\r\n" * (BLOCK_BYTES // 5))


def stalled_bodies(case):
    """Bodies of the allowed size whose last byte never comes."""
    case.run_bytes(head(case.key, length=MAX_BODY_BYTES) + b"x" * (MAX_BODY_BYTES - 1), BODY_CROWD)


def complete_bodies(case):
    """Bodies of the allowed size to a service that holds the calls; refusals are true and say when to come again."""
    call(case.service, "POST", "/fake/faults", {"hold_before": True})
    before = case.executions()
    crowd = [connect(case.address) for _ in range(BODY_CROWD)]
    for each in crowd:
        send(each, head(case.key, length=MAX_BODY_BYTES) + b"x" * MAX_BODY_BYTES)
    case.wait_until_read()
    case.check_limits()
    call(case.service, "POST", "/fake/faults", {})
    responses = [read_response(each) for each in crowd]
    executed = case.executions() - before
    for response in filter(None, responses):
        status, fields, body = response
        assert status in (200, 503, 504, 429, 409, 502), response[:2]
        if status == 503:
            assert b"retry-after" in fields.lower(), fields
    may_have_run = sum(response is None or response[0] == 200 or b'"not_run"' not in response[2]
                       for response in responses)
    assert executed <= may_have_run, f"{executed} executions, but only {may_have_run} requests were not refused"
    # Bodies for which there is no memory are refused with a response that the client can read.
    refusals = sum(response is not None and response[0] == 503 for response in responses)
    print(f"complete_bodies: {refusals} of {BODY_CROWD} received 503, "
          f"{sum(response is None for response in responses)} received nothing", flush=True)
    assert refusals > 0, "no 503 was received"
    case.check_limits()
    case.check_ordinary_request()


def start_engine(case):
    engine = case.deployment.start_fake("scent", "engine", "--model", "scent")
    case.deployment.start_agent("scent-0", "amman-a", "amman", "scent", "engine", engine)
    case.deployment.publish_instances()
    wait_until(lambda: is_chat_served(case), "a chat request to be served", TIMEOUT_S)


def is_chat_served(case):
    body = {"model": "scent", "max_tokens": 8, "messages": [{"role": "user", "content": "length=1 x"}]}
    reply = call(case.address, "POST", CHAT_PATH.decode(), body, case.key)
    assert reply.status in (200, 503), (reply.status, reply.body)
    return reply.status == 200


def chat_documents(case, values):
    """Documents of chat requests while they are checked: they took up to 32 times the size of the body."""
    start_engine(case)
    body = chat_body(*values)
    crowd = [connect(case.address) for _ in range(BODY_CROWD)]
    for each in crowd:
        send(each, head(case.key, length=MAX_BODY_BYTES, path=CHAT_PATH) + body)
    case.wait_until_read()
    case.check_limits()
    for each in crowd:
        response = read_response(each)
        assert response is None or response[0] in (200, 429, 502, 503, 504), response[:2]
    case.check_limits()
    case.check_ordinary_request()
    wait_until(lambda: is_chat_served(case), "a chat request to be served", TIMEOUT_S)


def chat_documents_of_objects(case):
    chat_documents(case, NESTED_VALUES["objects"])


def chat_documents_of_lists(case):
    chat_documents(case, NESTED_VALUES["lists"])


def chat_documents_of_numbers(case):
    chat_documents(case, NESTED_VALUES["numbers"])


def deeply_nested_chat(case):
    """Writing a document recurses once for each level: an agent ended with an exhausted stack."""
    start_engine(case)
    half = MAX_BODY_BYTES // 2 - 200
    body = chat_body(b"[" * half, b" ", b"]" * half)
    for _ in range(3):
        with connect(case.address) as connection:
            send(connection, head(case.key, length=MAX_BODY_BYTES, path=CHAT_PATH) + body)
            read_response(connection)
    case.check_limits()
    assert case.deployment.processes["scent-0-agent"].poll() is None, "the agent has ended"
    case.check_ordinary_request()
    wait_until(lambda: is_chat_served(case), "a chat request to be served", TIMEOUT_S)


def chat_bodies_of_gone_callers(case):
    """Copies of bodies on their way to an agent that reads nothing, whose callers have left: they were not counted."""
    start_engine(case)
    body = chat_body(b'"', b"x", b'"')
    agent = case.deployment.processes["scent-0-agent"]
    agent.send_signal(signal.SIGSTOP)
    try:
        for _ in range(WAVES):
            crowd = [connect(case.address) for _ in range(WAVE_CROWD)]
            for each in crowd:
                send(each, head(case.key, length=MAX_BODY_BYTES, path=CHAT_PATH) + body)
            case.wait_until_read()
            for each in crowd:
                each.close()
        case.check_limits()
        case.check_ordinary_request()
    finally:
        agent.send_signal(signal.SIGCONT)
    case.check_limits()
    wait_until(lambda: is_chat_served(case), "a chat request to be served", TIMEOUT_S)


def is_closed(connection):
    connection.setblocking(False)
    try:
        return connection.recv(1) == b""
    except BlockingIOError:
        return False
    except ConnectionError:
        return True


def silent_connections(case):
    """Connections beyond the limit are closed; the others end after the read timeout."""
    crowd = [connect(case.address) for _ in range(SILENT_CROWD)]
    most = 0

    def surplus_is_closed():
        nonlocal most
        most = max(most, case.descriptors())
        return sum(is_closed(each) for each in crowd) >= SILENT_CROWD - MAX_CONNECTIONS - 1
    wait_until(surplus_is_closed, "the connections beyond the limit to be closed", TIMEOUT_S)
    assert most <= MAX_DESCRIPTORS, f"{most} descriptors"
    case.check_limits()
    case.check_ordinary_request()
    case.check_limits()


CASES = (heads_of_short_lines, unfinished_heads_of_short_lines, heads_of_one_large_line, endless_line,
         endless_empty_lines, endless_chunk_extension, many_trailer_lines, stalled_bodies, complete_bodies,
         chat_documents_of_objects, chat_documents_of_lists, chat_documents_of_numbers, deeply_nested_chat,
         chat_bodies_of_gone_callers, silent_connections)
ENTRY_ARGUMENTS = ["--head-memory-mb", "4", "--body-memory-mb", "16"]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("names", nargs="*", help="only these cases")
    options = parser.parse_args()
    failed = []
    for function in CASES:
        if options.names and function.__name__ not in options.names:
            continue
        try:
            with Deployment(os.path.abspath(options.bin)) as deployment:
                case = Case(deployment)
                start = case.peak_memory() / MEBIBYTE
                try:
                    function(case)
                finally:
                    if deployment.processes["entry"].poll() is None:
                        print(f"{function.__name__}: peak {case.peak_memory() / MEBIBYTE:.1f} MiB, "
                              f"{start:.1f} MiB before the crowd", flush=True)
            print("passed:", function.__name__, flush=True)
        except (AssertionError, OSError) as error:
            failed.append(function.__name__)
            print("failed:", function.__name__, error, flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
