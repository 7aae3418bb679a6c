#!/usr/bin/env python3
"""Callers that read or send slowly. Whatever they do, a gateway stays alive and within its limits of memory and
descriptors, and answers an ordinary request.

The limits are lowered in the settings, so that a small crowd suffices. Neither times nor the share of the crowd's
requests that are served are checked.
"""

import os
import re
import socket
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "client_crowds"))
from crowd import TIMEOUT_S, Client, head, wait_until_read  # noqa: E402
from platform_deployment import Deployment, run_cases, wait_until  # noqa: E402
from platform_standins import EndpointHandler  # noqa: E402

MEBIBYTE = 1024 * 1024
# Limits in the settings of the gateway, which are the bounds of the cases.
MEMORY_MB = 48
MAX_DESCRIPTORS = 900
CROWD = 60
# Within the limit of 4 MiB of a configuration without limits; a few of them fill the memory for bodies.
STATED_BYTES = 4_000_000
# What a stalled upload sends before it stops; together far above the memory for bodies.
PART_BYTES = 1_000_000
# Does not fit beside the lengths that the crowd states.
ORDINARY_BYTES = 3_000_000
# Longer than the second without a byte after which an upload counts as stalled.
STALL_S = 1.5
# Pieces of an upload that makes progress, and the pause between them.
PIECES, PIECE_PAUSE_S = 10, 0.4
# An endpoint cuts off a response of which it can't send a byte for this time.
CUT_S = 2
# A caller's pause after which it reads on.
READ_PAUSE_S = 3.5
# Unread rest of a stream that fits the kernel's buffer of the gateway, and not that of the caller.
KERNEL_REST_BYTES = 40 * 1024
EVENT_BYTES = 4096
# Streams of the crowd, together above the memory limit, and one that an entry can hold for its caller.
CROWD_EVENTS, HELD_EVENTS = 400, 128
# Pause after each two events of a caller that reads slowly.
SLOW_READ_PAUSE_S = 0.01
# Streams that fit the limit for one caller, and callers whose streams together don't fit the memory for streams.
STALLED_EVENTS, STALLED_CALLERS, ARRIVAL_PAUSE_S = 200, 16, 0.1
# Callers that read much, so that the kernel enlarges the receive buffer of the endpoint's connection, and then stop.
READERS, READ_BYTES, LONG_EVENTS = 10, 6_000_000, 8000
# Pause between two samples of the kernel's buffers.
SAMPLE_PAUSE_S = 0.02
# 64 KiB, doubled by the kernel.
KERNEL_BYTES_PER_CONNECTION = 128 * 1024
SMALL_BUFFER = 4096
EVENT_ID = re.compile(rb"^id: ([0-9]+)$", re.MULTILINE)


class SlowHandler(EndpointHandler):
    """Discards bodies. Streams below /flow/EVENTS/ are sent without pauses, and cut off if their reader stops."""

    def body(self):
        left = int(self.headers.get("Content-Length", 0))
        while left > 0:
            data = self.rfile.read(min(left, 65536))
            if not data:
                break
            left -= len(data)
        return b""

    def handle_request(self):
        if not self.path.startswith("/flow/"):
            return super().handle_request()
        self.body()
        request = self.headers["Request-Id"]
        self.server.runs[request] += 1
        self.connection.settimeout(self.server.cut_s)
        try:
            self.send_response(200)
            for name, value in self.response_headers(request) + [("Content-Type", "text/event-stream"),
                                                                 ("Transfer-Encoding", "chunked")]:
                self.send_header(name, value)
            self.end_headers()
            for number in range(1, int(self.path.split("/")[2]) + 1):
                event = (f"id: {number}\ndata: ".ljust(EVENT_BYTES, "x") + "\n\n").encode()
                self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            self.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.close_connection = True
        finally:
            self.server.ended_streams.add(request)

    do_GET = do_HEAD = do_POST = handle_request


class StreamClient(Client):
    """A caller of a stream with a small receive buffer, which reads only when it is asked to."""

    def __init__(self, gateway, events):
        self.request, self.received, self.ended = uuid.uuid4().hex[:16], b"", False
        self.socket = socket.socket()
        self.socket.settimeout(TIMEOUT_S)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.socket.connect((gateway.ip, gateway.ports[0]))
        self.send(head(f"/flow/{events}/1", request=self.request))

    def read(self, least=None):
        """Reads until the end of the stream, or at least a number of bytes."""
        parts, size = [self.received], len(self.received)
        try:
            while (least is None or size < least) and not parts[-1].endswith(b"0\r\n\r\n"):
                data = self.socket.recv(65536)
                if not data:
                    break
                parts.append(data)
                size += len(data)
        except ConnectionError:
            pass
        self.received = b"".join(parts)

    def check_complete(self, events):
        ids = [int(each) for each in EVENT_ID.findall(self.received)]
        assert ids == list(range(1, events + 1)), f"{len(ids)} of {events} events, {len(self.received)} bytes"
        assert self.received.endswith(b"0\r\n\r\n"), "the stream has no end"


def check_limits(deployment):
    gateway = deployment.gateways[0]
    assert gateway.alive(), "the gateway has ended"
    descriptors = len(os.listdir(f"/proc/{gateway.process.pid}/fd"))
    assert descriptors <= MAX_DESCRIPTORS, f"{descriptors} descriptors"
    assert gateway.peak_memory() <= MEMORY_MB * MEBIBYTE, f"peak {gateway.peak_memory() / MEBIBYTE:.1f} MiB"


def check_ordinary_request(deployment):
    answer = deployment.gateways[0].call("/lookup/1", timeout=TIMEOUT_S)
    assert answer.status == 200, answer.status


def check_ordinary_upload(deployment):
    answer = deployment.gateways[0].call("/upload/1", body=b"x" * ORDINARY_BYTES, timeout=TIMEOUT_S)
    assert answer.status == 200, f"an ordinary upload got {answer.status}"


def stall_upload(deployment, sent=0):
    request = uuid.uuid4().hex[:16]
    client = Client(deployment.gateways[0], head("/upload/1", request=request, length=STATED_BYTES), request)
    if sent:
        client.send(b"x" * sent)
    return client


def check_stalled_uploads(deployment, clients):
    """Uploads that were ended were not executed, and their callers are told so if they read."""
    for client in clients:
        if client.has_answer():
            assert client.read_status() in (503, None), client.received[:200]
        assert deployment.runs(client.request) == 0, "an unfinished upload was executed"
        client.close()


def uploads_that_send_no_byte(deployment):
    """Callers that state large bodies and send none of them; the stated lengths used up the memory for bodies."""
    clients = [stall_upload(deployment) for _ in range(CROWD)]
    wait_until_read(deployment.gateways[0])
    check_ordinary_upload(deployment)
    check_ordinary_request(deployment)
    check_limits(deployment)
    check_stalled_uploads(deployment, clients)


def uploads_that_stop(deployment):
    """Callers that send a part of their bodies and then nothing held that memory until their time limit."""
    clients = [stall_upload(deployment, PART_BYTES) for _ in range(CROWD)]
    wait_until_read(deployment.gateways[0])
    time.sleep(STALL_S)
    check_ordinary_upload(deployment)
    check_ordinary_request(deployment)
    check_limits(deployment)
    check_stalled_uploads(deployment, clients)


def upload_in_progress_outlasts_stalled_ones(deployment):
    """A caller that sends slowly, but without a long pause, must not lose its memory to a crowd."""
    slow = Client(deployment.gateways[0], head("/upload/1", request="slow", length=STATED_BYTES), "slow")

    def send_pieces():
        for _ in range(PIECES):
            slow.send(b"x" * (STATED_BYTES // PIECES))
            time.sleep(PIECE_PAUSE_S)

    sender = threading.Thread(target=send_pieces, daemon=True)
    sender.start()
    rounds = []
    while sender.is_alive():
        rounds += [stall_upload(deployment, PART_BYTES) for _ in range(CROWD // 6)]
        time.sleep(PIECE_PAUSE_S)
    status = slow.read_status()
    assert status == 200, f"the upload in progress got {status}"
    check_limits(deployment)
    check_stalled_uploads(deployment, rounds)


def wait_until_all_ended(deployment, clients):
    """Waits until the endpoints have sent, or cut off, the streams of all callers."""
    def ended(client):
        return any(client.request in each.ended_streams for each in deployment.endpoints)
    wait_until(lambda: all(ended(client) or client.has_answer() and deployment.runs(client.request) == 0
                           for client in clients), "the end of the streams at the endpoints", TIMEOUT_S)


def callers_that_stop_reading(deployment):
    """A crowd that reads nothing of its streams, together with a caller that reads."""
    clients = [StreamClient(deployment.gateways[0], CROWD_EVENTS) for _ in range(CROWD)]
    reader = StreamClient(deployment.gateways[0], CROWD_EVENTS)
    reader.read()
    reader.check_complete(CROWD_EVENTS)
    check_limits(deployment)
    wait_until_all_ended(deployment, clients)
    check_limits(deployment)
    check_ordinary_request(deployment)
    for client in clients:
        client.close()


def check_pausing_caller(deployment, events, read_before=0):
    client = StreamClient(deployment.gateways[0], events)
    wait_until(client.has_answer, "the first bytes")
    client.read(read_before)
    time.sleep(READ_PAUSE_S)
    client.read()
    client.check_complete(events)
    check_limits(deployment)


def caller_that_pauses(deployment):
    """A caller that pauses lost its stream: the entry stopped reading from the endpoint, which cut the stream off."""
    check_pausing_caller(deployment, HELD_EVENTS)


def caller_that_pauses_beyond_its_limit(deployment):
    """The entry keeps 1 MiB of the stream and the endpoint waits: the kernel reset the caller after 1.5 s."""
    for endpoint in deployment.endpoints:
        endpoint.cut_s = TIMEOUT_S
    check_pausing_caller(deployment, CROWD_EVENTS)


def caller_that_pauses_near_the_end(deployment):
    """All that the caller has not read is in the kernel's buffer, as the rest was kept and written before: the kernel
    reset the caller after 1.5 s.
    """
    check_pausing_caller(deployment, HELD_EVENTS, HELD_EVENTS * EVENT_BYTES - KERNEL_REST_BYTES)


def caller_that_pauses_before_a_small_stream(deployment):
    """The whole stream fits the kernel's buffer, so that no write was partial: the kernel reset the caller after 1.2 s
    with a closed window.
    """
    check_pausing_caller(deployment, KERNEL_REST_BYTES // EVENT_BYTES)


def slow_reader_gets_all_events_in_order(deployment):
    """A stream above the limit for one caller: a part is kept, and the rest is read from the endpoint as the caller
    reads. No byte may be lost, repeated or reordered between the two.
    """
    client = StreamClient(deployment.gateways[0], CROWD_EVENTS)
    for size in range(2 * EVENT_BYTES, 2 * CROWD_EVENTS * EVENT_BYTES, 2 * EVENT_BYTES):
        client.read(size)
        if client.received.endswith(b"0\r\n\r\n"):
            break
        time.sleep(SLOW_READ_PAUSE_S)
    client.check_complete(CROWD_EVENTS)
    check_limits(deployment)


def stalled_callers_are_closed_for_others(deployment):
    """Streams that nobody reads must not use up the memory for a caller that pauses later."""
    gateway = deployment.gateways[0]
    clients = []
    for _ in range(STALLED_CALLERS):
        # In sequence, so that the first ones are held completely.
        clients.append(StreamClient(gateway, STALLED_EVENTS))
        wait_until(clients[-1].has_answer, "the first bytes")
        time.sleep(ARRIVAL_PAUSE_S)
    time.sleep(STALL_S)
    check_pausing_caller(deployment, STALLED_EVENTS)
    closed = [event for event in gateway.events("slow_client_ended") if event["cause"] == "unread_response"]
    assert closed, "no stalled caller was closed"
    for client in clients:
        client.close()
    check_ordinary_request(deployment)


def unread_endpoint_bytes(deployment):
    """Bytes that the kernel holds of each connection to an endpoint because the gateway has not read them."""
    ports = {"%04X" % endpoint.server_address[1] for endpoint in deployment.endpoints}
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in table][1:]
    return [int(row[4].split(":")[1], 16) for row in rows if row[2].split(":")[1] in ports]


def kernel_buffers_of_endpoint_connections(deployment):
    """Callers that read much and then stop: the kernel held several MiB of each response."""
    clients = [StreamClient(deployment.gateways[0], LONG_EVENTS) for _ in range(READERS)]
    unread, done = [], threading.Event()

    def sample():
        while not done.wait(SAMPLE_PAUSE_S):
            unread.extend(unread_endpoint_bytes(deployment))

    sampler = threading.Thread(target=sample, daemon=True)
    sampler.start()
    for client in clients:
        client.read(READ_BYTES)
    time.sleep(CUT_S)
    done.set()
    sampler.join()
    for client in clients:
        client.close()
    most = max(unread, default=0)
    assert most > 0, f"no unread bytes of a connection to an endpoint in {len(unread)} samples"
    assert most <= KERNEL_BYTES_PER_CONNECTION, f"{most} unread bytes of one connection"
    check_ordinary_request(deployment)
    check_limits(deployment)


def make_deployment(bin_folder):
    deployment = Deployment(bin_folder, memory_mb=MEMORY_MB, max_fds=MAX_DESCRIPTORS)
    for name, kind in (("upload", "non_idempotent"), ("flow", "streaming")):
        deployment.routes.append({"name": name, "prefix": f"/{name}/", "kind": kind, "service": "plain",
                                  "timeout_ms": TIMEOUT_S * 1000, "slo_ms": TIMEOUT_S * 1000})
    for endpoint in deployment.endpoints:
        endpoint.RequestHandlerClass = SlowHandler
        endpoint.ended_streams, endpoint.cut_s = set(), CUT_S
    return deployment


run_cases((uploads_that_send_no_byte, uploads_that_stop, upload_in_progress_outlasts_stalled_ones,
           callers_that_stop_reading, caller_that_pauses, caller_that_pauses_beyond_its_limit,
           caller_that_pauses_near_the_end, caller_that_pauses_before_a_small_stream, slow_reader_gets_all_events_in_order,
           stalled_callers_are_closed_for_others, kernel_buffers_of_endpoint_connections),
          make_deployment, 1)
