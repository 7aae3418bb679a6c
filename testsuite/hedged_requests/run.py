#!/usr/bin/env python3
"""Hedged requests: a slow endpoint doesn't delay an answer that another one can give.

Endpoints hold requests until their connection closes, so that no verdict depends on the speed of the machine.
"""

import collections
import http.client
import os
import re
import select
import signal
import socket
import subprocess
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import HOST, KEY, Deployment, Gateway, run_cases, wait_until  # noqa: E402
from platform_standins import EndpointHandler, reset  # noqa: E402

# Above the samples that HedgePolicy needs.
WARM_UP_CALLS = 80
# Far above the delay of any call on a busy machine.
TIMEOUT_S = 60
# Time for which requests are held that no other endpoint may get; far above the delay on an idle machine.
HOLD_S = 1.0
DEADLINE_S = 2.0
# More than the kernel buffers of the gateway and of an endpoint that does not read.
LONG_BODY = b"x" * 4_190_000
BREAK_PAUSE_S = 0.05
# Events of a whole stream of the model service.
EVENTS = 6
MAY_HAVE_RUN, TIMED_OUT = 502, 504


class Holds:
    """Which requests endpoints hold, and how those end.

    `count` is the number of arrivals of a request that are held; later ones are answered. `breaks` is set to end the
    held connections, and `refused` has the requests whose arrivals after the held ones are refused as not executed.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.count, self.seconds = {}, {}
        self.arrivals = collections.defaultdict(list)
        self.closed = collections.defaultdict(list)
        self.breaks, self.refused = threading.Event(), set()
        # Requests whose held arrivals get the head of a stream, and those whose streams pause after the first event.
        self.head_first, self.paused_streams = set(), set()
        # Requests whose arrivals after the held ones get a part of a response, which is then reset.
        self.broken = set()

    def hold(self, request, count=1, seconds=TIMEOUT_S):
        self.count[request], self.seconds[request] = count, seconds
        return request

    def arrived(self, request, endpoint):
        """Whether the endpoint has to hold this arrival of the request."""
        with self.lock:
            self.arrivals[request].append(endpoint)
            return len(self.arrivals[request]) <= self.count.get(request, 0)


class HoldingHandler(EndpointHandler):
    holds = None
    # Body of a held request, which handle_request reads once more.
    held_body = None

    def body(self):
        body, self.held_body = self.held_body, None
        return super().body() if body is None else body

    def do_POST(self):
        request, endpoint = self.headers["Request-Id"], self.server
        if self.holds.arrived(request, endpoint.name):
            if request in self.holds.head_first:
                self.send_stream_head(request)
            if not self.wait_in_vain(request):
                self.close_connection = True
                return
        elif request in self.holds.broken:
            self.break_response(request)
            return
        elif request in self.holds.refused:
            self.body()
            self.answer(503, None, [("Request-Id", request), ("Not-Executed", "1")])
            return
        self.handle_request()

    def break_response(self, request):
        """Answers without a length before the request is read, and resets the connection."""
        self.close_connection = True
        self.send_response(200)
        for name, value in self.response_headers(request) + [("Connection", "close")]:
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(b"id: 1\ndata: 1\n\n")
        time.sleep(BREAK_PAUSE_S)
        reset(self.connection)

    def send_stream_head(self, request):
        self.send_response(200)
        for name, value in self.response_headers(request) + [("Content-Type", "text/event-stream"),
                                                             ("Transfer-Encoding", "chunked")]:
            self.send_header(name, value)
        self.end_headers()

    def stream(self, endpoint, request, last, break_after=None):
        if request not in self.holds.paused_streams:
            super().stream(endpoint, request, last, break_after)
            return
        self.send_stream_head(request)
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(HOLD_S if number == 1 else 0)
        self.wfile.write(b"0\r\n\r\n")

    def wait_in_vain(self, request):
        """Waits for the end of the connection. Returns whether the time of the hold passed instead."""
        body = self.body()
        left = self.holds.seconds[request]
        while left > 0:
            left -= 0.02
            readable, _, _ = select.select([self.connection], [], [], 0.02)
            if self.holds.breaks.is_set():
                return False
            if readable:
                try:
                    ended = not self.connection.recv(1, socket.MSG_PEEK)
                except OSError:
                    ended = True
                if ended:
                    self.holds.closed[request].append(self.server.name)
                    return False
        self.held_body = body
        return True


def make_deployment(bin_folder):
    deployment = Deployment(bin_folder, arguments=["--hedge-ratio", "1"])
    deployment.holds = Holds()
    handler = type("CaseHandler", (HoldingHandler,), {"holds": deployment.holds})
    for endpoint in deployment.endpoints:
        endpoint.RequestHandlerClass = handler
    deployment.routes.append({"name": "once", "prefix": "/once/", "kind": "idempotent", "service": "plain",
                              "max_attempts": 1})
    for route in deployment.routes:
        if route["name"] == "match":
            route["max_attempts"] = 2
        route.update(timeout_ms=TIMEOUT_S * 1000, slo_ms=TIMEOUT_S * 1000)
    return deployment


def warm_up(deployment, path, gateway=None):
    gateway = gateway or deployment.gateways[0]
    for _ in range(WARM_UP_CALLS):
        answer = gateway.call(path, timeout=TIMEOUT_S)
        assert answer.status == 200, f"call was answered with {answer.status}"


def held_call(deployment, path, count=1, seconds=TIMEOUT_S, gateway=None, timeout=TIMEOUT_S):
    request = deployment.holds.hold(uuid.uuid4().hex[:16], count, seconds)
    return (gateway or deployment.gateways[0]).call(path, timeout=timeout, request=request)


def metric(gateway, name, labels):
    found = re.search(r"^wisteriayard_gateway_%s\{%s\} (\S+)$" % (name, labels), gateway.metrics(), re.MULTILINE)
    return float(found.group(1)) if found else 0


def decisions(gateway, request, decision="sent"):
    return [each for each in gateway.events("hedge_decided")
            if each["request"] == request and each["decision"] == decision]


def slow_endpoint_does_not_delay_the_answer(deployment):
    """Guards against callers that wait for a slow endpoint, which goes on working after the answer."""
    gateway, holds = deployment.gateways[0], deployment.holds
    warm_up(deployment, "/lookup/a")
    won = metric(gateway, "hedged_requests_total", 'result="won"')
    # The caller stays connected: its end would cancel the attempt as well.
    connection = http.client.HTTPConnection(gateway.ip, gateway.ports[0], timeout=TIMEOUT_S)
    request = holds.hold(uuid.uuid4().hex[:16])
    answer = gateway.call_on(connection, "/lookup/a", timeout=TIMEOUT_S, request=request)
    assert answer.status == 200, f"answered with {answer.status}"
    arrivals = holds.arrivals[answer.request]
    assert len(arrivals) == 2 and len(set(arrivals)) == 2, f"sent to {arrivals}"
    wait_until(lambda: holds.closed[answer.request] == arrivals[:1], "the end of the slow connection")
    assert gateway.call_on(connection, "/lookup/a", timeout=TIMEOUT_S).status == 200
    connection.close()
    assert deployment.runs(answer.request) == 1
    wait_until(lambda: decisions(gateway, answer.request), "the decision in the log")
    fields = decisions(gateway, answer.request)[0]
    assert (fields["first"], fields["second"]) == tuple(arrivals), fields
    assert fields["samples"] >= 60 and fields["elapsed_ms"] >= fields["delay_ms"] >= fields["quantile_ms"], fields
    assert metric(gateway, "hedged_requests_total", 'result="won"') == won + 1


def resumable_stream_begins_elsewhere(deployment):
    """Guards against a stream with events of both endpoints, or of neither."""
    gateway, holds = deployment.gateways[0], deployment.holds
    warm_up(deployment, "/match/a")
    for head_first in [False, True]:
        request = holds.hold(uuid.uuid4().hex[:16])
        if head_first:
            holds.head_first.add(request)
        answer = gateway.call("/match/a", timeout=TIMEOUT_S, request=request)
        assert answer.status == 200, f"answered with {answer.status}"
        ids = [int(number) for number in re.findall(rb"^id: (\d+)$", answer.body, re.MULTILINE)]
        assert ids == list(range(1, EVENTS + 1)), f"events {ids}"
        wait_until(lambda: holds.closed[request], "the end of the slow connection")
        assert len(set(holds.arrivals[request])) == 2
    # A stream that has begun before the delay is no slow request, however long it takes.
    request = uuid.uuid4().hex[:16]
    holds.paused_streams.add(request)
    assert gateway.call("/match/a", timeout=TIMEOUT_S, request=request).status == 200
    begun = metric(gateway, "hedge_decisions_total", 'decision="answer_begun"')
    assert begun == 0, f"{begun} streams that had begun counted as slow"


def requests_that_may_not_be_repeated_are_sent_once(deployment):
    """Guards against a second execution of an at-most-once call, and of a stream that can't be resumed."""
    for path in ["/charge/a", "/chat/a", "/once/a"]:
        warm_up(deployment, path)
        answer = held_call(deployment, path, seconds=HOLD_S)
        assert answer.status == 200, f"{path}: answered with {answer.status}"
        assert len(deployment.holds.arrivals[answer.request]) == 1, f"{path}: sent again"
    repeated = [request for request, arrivals in deployment.holds.arrivals.items() if len(arrivals) > 1]
    assert not repeated, f"{len(repeated)} requests were sent again"


def broken_second_answer_is_no_answer(deployment):
    """Guards against a part of the second endpoint's answer that is taken for a whole one."""
    gateway, holds = deployment.gateways[0], deployment.holds
    for path in ["/lookup/a", "/match/a"]:
        warm_up(deployment, path)
        request = holds.hold(uuid.uuid4().hex[:16], seconds=HOLD_S)
        holds.broken.add(request)
        answer = gateway.call(path, body=LONG_BODY, timeout=TIMEOUT_S, request=request)
        assert len(holds.arrivals[request]) == 2, f"{path}: sent to {holds.arrivals[request]}"
        # The first event of the second stream ends the first attempt, so that the stream can't be completed.
        assert answer.status == (200 if path == "/lookup/a" else None), f"{path}: answered with {answer.status}"
        assert answer.status is None or request in answer.body.decode()[-40:], f"{path}: {len(answer.body)} bytes"


def request_that_may_have_run_is_not_called_refused(deployment):
    """Guards against a 503 where the second endpoint refused, but the first may have executed the request."""
    holds = deployment.holds
    warm_up(deployment, "/lookup/a")
    request = holds.hold(uuid.uuid4().hex[:16])
    holds.refused.add(request)
    answers = []
    caller = threading.Thread(target=lambda: answers.append(
        deployment.gateways[0].call("/lookup/a", timeout=TIMEOUT_S, request=request)))
    caller.start()
    wait_until(lambda: len(holds.arrivals[request]) == 2, "the second attempt", TIMEOUT_S)
    # The refusal is no reason for a further attempt while the first one runs.
    holds.breaks.set()
    caller.join()
    assert answers[0].status == MAY_HAVE_RUN, f"answered with {answers[0].status}"
    assert len(holds.arrivals[request]) == 2, f"sent to {holds.arrivals[request]}"


def caller_that_leaves_cancels_both_attempts(deployment):
    """Guards against work for a caller who has gone."""
    holds, gateway = deployment.holds, deployment.gateways[0]
    warm_up(deployment, "/lookup/a")
    request = holds.hold(uuid.uuid4().hex[:16], count=2)
    with socket.create_connection((gateway.ip, gateway.ports[0])) as connection:
        connection.sendall((f"POST /lookup/a HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\nContent-Length: 1"
                            f"\r\nAuthorization: Bearer {KEY}\r\nDeadline-Ms: {TIMEOUT_S * 1000}\r\n\r\nx").encode())
        wait_until(lambda: len(holds.arrivals[request]) == 2, "the second attempt", TIMEOUT_S)
    wait_until(lambda: len(holds.closed[request]) == 2, "the end of both attempts")


def deadline_cancels_both_attempts(deployment):
    """Guards against attempts that outlive the deadline, and against a 503 after it."""
    holds = deployment.holds
    warm_up(deployment, "/lookup/a")
    request = holds.hold(uuid.uuid4().hex[:16], count=2)
    answer = deployment.gateways[0].call("/lookup/a", request=request, timeout=TIMEOUT_S,
                                         headers={"Deadline-Ms": str(int(DEADLINE_S * 1000))})
    assert answer.status == TIMED_OUT, f"answered with {answer.status}"
    wait_until(lambda: len(holds.closed[request]) == len(holds.arrivals[request]), "the end of all attempts")


def planned_stop_does_not_wait_for_the_slow_endpoint(deployment):
    """Guards against a stop that is delayed by an attempt whose request has been answered."""
    gateway = deployment.gateways[0]
    warm_up(deployment, "/lookup/a")
    connection = http.client.HTTPConnection(gateway.ip, gateway.ports[0], timeout=TIMEOUT_S)
    request = deployment.holds.hold(uuid.uuid4().hex[:16])
    assert gateway.call_on(connection, "/lookup/a", timeout=TIMEOUT_S, request=request).status == 200
    gateway.signal(signal.SIGTERM)
    wait_until(lambda: not gateway.alive(), "the end of the gateway")
    connection.close()
    assert gateway.process.returncode == 0, f"ended with status {gateway.process.returncode}"
    ended = gateway.events("requests_ended")[0]
    assert ended["busy_connections"] == 0 and ended["active_requests"] == 0, ended


def usage_counts_hedged_requests_once(deployment):
    """Guards against a request that is billed for each of its endpoints."""
    warm_up(deployment, "/lookup/a")
    for _ in range(3):
        assert held_call(deployment, "/lookup/a").status == 200
    expected = WARM_UP_CALLS + 3
    counted = lambda: sum(counts.get("acme", 0) for counts in list(deployment.reports.windows.values()))  # noqa: E731
    wait_until(lambda: counted() >= expected, "the usage reports", 2 * TIMEOUT_S)
    assert counted() == expected, f"{counted()} requests counted, expected {expected}"


def nothing_is_hedged_by_default(deployment):
    """Guards against second attempts that nobody asked for."""
    gateway = Gateway(deployment, "default", "a", deployment.store.address)
    gateway.arguments = []
    deployment.gateways.append(gateway.start())
    wait_until(gateway.ready, "the gateway to be ready")
    warm_up(deployment, "/lookup/a", gateway)
    answer = held_call(deployment, "/lookup/a", seconds=HOLD_S, gateway=gateway)
    assert answer.status == 200, f"answered with {answer.status}"
    assert len(deployment.holds.arrivals[answer.request]) == 1, "sent again"
    assert not gateway.events("hedge_decided")


def unusable_ratios_are_refused(deployment):
    """Guards against a ratio that nobody meant: each of these ends the program with a message and status 2."""
    gateway = deployment.gateways[0]
    environment = dict(os.environ, WISTERIAYARD_CONFIG=gateway.file)
    for arguments in [["--hedge-ratio", "-0.1"], ["--hedge-ratio", "1.1"], ["--hedge-ratio", "nan"],
                      ["--hedge-ratio", "5%"], ["--hedge-ratio"], ["--hedge", "0.1"], ["0.1"]]:
        program = [os.path.join(deployment.bin, "wisteriayard-gateway")] + arguments
        ended = subprocess.run(program, env=environment, capture_output=True, timeout=TIMEOUT_S)
        assert ended.returncode == 2 and ended.stderr, f"{arguments}: status {ended.returncode}"


if __name__ == "__main__":
    run_cases([slow_endpoint_does_not_delay_the_answer, resumable_stream_begins_elsewhere,
               requests_that_may_not_be_repeated_are_sent_once, broken_second_answer_is_no_answer,
               request_that_may_have_run_is_not_called_refused,
               caller_that_leaves_cancels_both_attempts, deadline_cancels_both_attempts,
               planned_stop_does_not_wait_for_the_slow_endpoint, usage_counts_hedged_requests_once,
               nothing_is_hedged_by_default, unusable_ratios_are_refused],
              make_deployment, 1)
