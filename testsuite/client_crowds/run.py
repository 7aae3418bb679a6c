#!/usr/bin/env python3
"""Crowds of clients that nobody controls. Whatever they send, a gateway stays alive and within its limits of memory and
descriptors, and answers an ordinary request afterwards.

The limits are lowered in the settings, so that a small crowd suffices. Neither times nor the share of the crowd's
requests that are served are checked.
"""

import os
import random
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from crowd import (COOKIE_LINES, NAMED_LINES, SHORT_LINES, TIMEOUT_S, Client, fields_of, head, holding_endpoint,  # noqa: E402
                   wait_until_held_or_answered, wait_until_read)
from platform_deployment import Deployment, run_cases, wait_until  # noqa: E402

MEBIBYTE = 1024 * 1024
# Limits in the settings of the gateway, which are the bounds of the cases.
MEMORY_MB = 48
MAX_DESCRIPTORS = 900
CROWD = 400
# More than MAX_DESCRIPTORS.
SILENT_CROWD = 1100
ROUNDS = 4
# Crowds whose members send much each.
SMALL_CROWD = 100
ENDLESS_BYTES = 1024 * 1024
BLOCK_BYTES = 16 * 1024
PIPELINED_REQUESTS = 150
PROMPT_SEGMENTS = 1600
DOWNLOAD_BYTES = 64 * 1024
DATAGRAMS, DATAGRAM_SEED = 3000, 1
# Names that the gateway replaces or drops when it forwards a request.
OWN_FIELDS = {b"host", b"deadline-ms", b"authorization", b"content-length", b"request-id", b"target-instance", b"tenant",
              b"request-priority"}


def check_limits(deployment):
    gateway = deployment.gateways[0]
    assert gateway.alive(), "the gateway has ended"
    descriptors = len(os.listdir(f"/proc/{gateway.process.pid}/fd"))
    assert descriptors <= MAX_DESCRIPTORS, f"{descriptors} descriptors"
    assert gateway.peak_memory() <= MEMORY_MB * MEBIBYTE, f"peak {gateway.peak_memory() / MEBIBYTE:.1f} MiB"


def check_ordinary_request(deployment):
    """Ordinary callers are answered. While a crowd occupies the endpoints or the memory they may be refused, and come
    back.
    """
    def is_served():
        answer = deployment.gateways[0].call("/lookup/1", timeout=TIMEOUT_S)
        assert answer.status in (200, 503), answer.status
        return answer.status == 200
    wait_until(is_served, "an ordinary request to be served", TIMEOUT_S)


def check_refusals(deployment, clients):
    """Requests that were refused have not been executed, and their refusals name them."""
    for client in clients:
        if deployment.runs(client.request) > 0 or not client.has_answer():
            continue
        status = client.read_status()
        assert status in (503, None), status
        if status == 503:
            fields = fields_of(client.received)
            assert b"retry-after" in fields and fields[b"request-id"] == [client.request.encode()], client.received
        assert deployment.runs(client.request) == 0, "a refused request was executed"


def open_gate(deployment):
    for endpoint in deployment.endpoints:
        endpoint.gate.set()


def complete_client(deployment, number, path, lines):
    request = f"crowd-{number}"
    return Client(deployment.gateways[0], head(path, lines, request), request)


def run_complete(deployment, path, lines):
    """A crowd sends complete heads to endpoints that don't answer before the gate opens."""
    clients = [complete_client(deployment, number, path, lines) for number in range(CROWD)]
    wait_until_held_or_answered(deployment, clients)
    check_limits(deployment)
    check_refusals(deployment, clients)
    check_ordinary_request(deployment)
    open_gate(deployment)
    held = [client for client in clients if deployment.runs(client.request) > 0]
    statuses = {client.read_status() for client in held}
    assert held and statuses == {200}, statuses
    check_limits(deployment)
    check_ordinary_request(deployment)


def run_unfinished(deployment, lines):
    clients = [Client(deployment.gateways[0], head(lines=lines, finished=False)) for _ in range(CROWD)]
    wait_until_read(deployment.gateways[0])
    check_limits(deployment)
    check_ordinary_request(deployment)
    for client in clients:
        client.close()


def run_bytes(deployment, data, count=SMALL_CROWD, half_close=False):
    """A crowd sends the same bytes, and reads nothing."""
    clients = [Client(deployment.gateways[0], data, half_close=half_close) for _ in range(count)]
    check_limits(deployment)
    check_ordinary_request(deployment)
    return clients


def run_endless(deployment, start, block):
    """A crowd sends blocks of bytes without end, in turn, until the connections are closed or all have sent much."""
    clients = [Client(deployment.gateways[0], start) for _ in range(SMALL_CROWD)]
    for _ in range(ENDLESS_BYTES // len(block)):
        for client in clients:
            if not client.ended:
                client.send(block)
    wait_until_read(deployment.gateways[0])
    check_limits(deployment)
    check_ordinary_request(deployment)


def heads_of_short_lines(deployment):
    """Complete heads of 3,200 lines; the parser kept a node for each line until the request ended."""
    run_complete(deployment, "/hold/1", SHORT_LINES)


def unfinished_heads_of_short_lines(deployment):
    """As before, without the end of the head."""
    run_unfinished(deployment, SHORT_LINES)


def heads_of_different_names(deployment):
    run_complete(deployment, "/hold/1", NAMED_LINES)


def unfinished_heads_of_different_names(deployment):
    run_unfinished(deployment, NAMED_LINES)


def cookie_lines_to_streams(deployment):
    """Empty Cookie lines to a streaming route, whose requests last long."""
    run_complete(deployment, "/flow/1", COOKIE_LINES)


def prompts_of_many_segments(deployment):
    """Each head names 1,600 prompt segments that no other request has: what is decoded and remembered of them is
    limited as well.
    """
    def lines(number):
        segments = b",".join(b"%x:1" % (0x100000 + number * PROMPT_SEGMENTS + i) for i in range(PROMPT_SEGMENTS))
        return [b"Token-Count: %d,1" % PROMPT_SEGMENTS, b"Prompt-Prefix: " + segments]

    clients = [complete_client(deployment, number, "/flow/1", lines(number)) for number in range(CROWD)]
    wait_until_held_or_answered(deployment, clients)
    check_limits(deployment)
    check_ordinary_request(deployment)
    for client in clients:
        client.close()


def heads_of_short_lines_in_rounds(deployment):
    """A crowd that sends complete heads, gets its answers, and comes again: memory must be reused."""
    for round_number in range(ROUNDS):
        clients = [complete_client(deployment, f"{round_number}-{number}", "/lookup/1", SHORT_LINES)
                   for number in range(CROWD)]
        statuses = {client.read_status() for client in clients}
        assert statuses <= {200, 503, None}, statuses
        check_limits(deployment)
        for client in clients:
            client.close()
    check_ordinary_request(deployment)


def silent_connections(deployment):
    """Connections that send no byte use descriptors; callers on new connections must still be answered."""
    clients = [Client(deployment.gateways[0]) for _ in range(SILENT_CROWD)]
    check_ordinary_request(deployment)
    check_limits(deployment)
    check_ordinary_request(deployment)
    for client in clients:
        client.close()


def single_heads_are_served_unchanged(deployment):
    """A single request within the limits is served whatever its lines look like, and its fields are forwarded."""
    for number, lines in enumerate((SHORT_LINES, NAMED_LINES, COOKIE_LINES, [b"x:" + b"y" * 15000])):
        for path in ("/lookup/1", "/chat/1"):
            request = f"single-{number}-{path[1]}"
            sent = head(path, lines, request)
            # Extends the head to the greatest permitted size.
            sent = head(path, [*lines, b"z:" + b"z" * (16384 - len(sent) - len(b"z:\r\n"))], request)
            assert len(sent) == 16384, len(sent)
            client = Client(deployment.gateways[0], sent)
            status = client.read_status()
            assert status == 200, (request, status)
            arrived = next(e.heads[request] for e in deployment.endpoints if request in e.heads)
            expected, forwarded = fields_of(sent), fields_of(arrived)
            for name in expected.keys() - OWN_FIELDS:
                assert forwarded[name] == expected[name], (request, name, forwarded[name][:5])
            assert forwarded.keys() <= expected.keys() | OWN_FIELDS, forwarded.keys() - expected.keys()
            client.close()
    check_limits(deployment)


def endless_empty_lines(deployment):
    run_endless(deployment, b"", b"\r\n" * (BLOCK_BYTES // 2))


def endless_line(deployment):
    run_endless(deployment, b"GET /", b"x" * BLOCK_BYTES)


def endless_chunk_extension(deployment):
    run_endless(deployment, head("/hold/1", [b"Transfer-Encoding: chunked"], length=None) + b"1;", b"x" * BLOCK_BYTES)


def endless_trailer(deployment):
    run_endless(deployment, head("/hold/1", [b"Transfer-Encoding: chunked"], length=None) + b"1\r\nx\r\n0\r\nX-A: ",
                b"x" * BLOCK_BYTES)


def many_trailer_lines(deployment):
    run_endless(deployment, head("/hold/1", [b"Transfer-Encoding: chunked"], length=None) + b"1\r\nx\r\n0\r\n",
                b"a:b\r\n" * (BLOCK_BYTES // 5))


def one_byte_chunks(deployment):
    run_endless(deployment, head("/hold/1", [b"Transfer-Encoding: chunked"], length=None),
                b"1\r\nx\r\n" * (BLOCK_BYTES // 6))


def heads_above_the_limit(deployment):
    clients = run_bytes(deployment, head(lines=[b"x:" + b"y" * 1000] * 40), CROWD)
    statuses = {client.read_status() for client in clients}
    assert statuses <= {431, None}, statuses


def many_requests_in_one_write(deployment):
    requests = b"".join(head("/lookup/1") for _ in range(PIPELINED_REQUESTS))
    run_bytes(deployment, requests)


def pipelined_heads_of_short_lines(deployment):
    """Requests that wait in the connection's buffer while one is being served."""
    run_bytes(deployment, head("/hold/1") + head("/hold/1", SHORT_LINES) * 4, CROWD)


def half_closed_connections(deployment):
    run_bytes(deployment, head(lines=SHORT_LINES, finished=False), CROWD, half_close=True)
    run_bytes(deployment, head("/hold/1", SHORT_LINES), CROWD, half_close=True)


def unread_responses(deployment):
    for endpoint in deployment.endpoints:
        endpoint.download_bytes = DOWNLOAD_BYTES
    clients = [Client(deployment.gateways[0], head("/download/1") * 20) for _ in range(CROWD)]
    wait_until(lambda: all(client.has_answer() for client in clients), "responses", TIMEOUT_S)
    check_limits(deployment)
    for client in clients:
        client.close()
    check_ordinary_request(deployment)
    check_limits(deployment)


def response_heads_of_short_lines(deployment):
    """Heads of endpoints' responses are limited in size like those of requests, and were parsed in the same way."""
    clients = [complete_client(deployment, number, "/lines/1", []) for number in range(CROWD)]
    wait_until_held_or_answered(deployment, clients)
    check_ordinary_request(deployment)
    check_limits(deployment)
    open_gate(deployment)
    statuses = {client.read_status() for client in clients}
    # The request was executed, so that it can't be refused with 503 once its response has begun.
    assert statuses <= {200, 502, 503, None}, statuses
    check_limits(deployment)
    check_ordinary_request(deployment)


def datagrams_of_strangers(deployment):
    """Datagrams of any content at the port for other entries."""
    gateway, bytes_of = deployment.gateways[0], random.Random(DATAGRAM_SEED)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(DATAGRAMS):
            sender.sendto(bytes_of.randbytes(bytes_of.randrange(60_000)), (gateway.ip, gateway.ports[2]))
    check_ordinary_request(deployment)
    check_limits(deployment)


def make_deployment(bin_folder):
    deployment = Deployment(bin_folder, memory_mb=MEMORY_MB, max_fds=MAX_DESCRIPTORS)
    for name, service, kind in (("hold", "plain", "non_idempotent"), ("download", "plain", "non_idempotent"),
                                ("lines", "plain", "non_idempotent"), ("flow", "model", "streaming")):
        deployment.routes.append({"name": name, "prefix": f"/{name}/", "kind": kind, "service": service,
                                  "timeout_ms": TIMEOUT_S * 1000, "slo_ms": TIMEOUT_S * 1000})
    for endpoint in deployment.endpoints:
        holding_endpoint(endpoint)
    return deployment


run_cases((heads_of_short_lines, unfinished_heads_of_short_lines, heads_of_different_names,
           unfinished_heads_of_different_names, cookie_lines_to_streams, prompts_of_many_segments,
           heads_of_short_lines_in_rounds, silent_connections, single_heads_are_served_unchanged,
           endless_empty_lines, endless_line, endless_chunk_extension, endless_trailer, many_trailer_lines,
           one_byte_chunks, heads_above_the_limit, many_requests_in_one_write, pipelined_heads_of_short_lines,
           half_closed_connections, unread_responses, response_heads_of_short_lines, datagrams_of_strangers),
          make_deployment, 1)
