#!/usr/bin/env python3
"""A response that an endpoint breaks off never looks complete to a caller, and a whole one stays whole.

Endpoints answer by hand: before or after they have read the request, with each framing, and with different ends of the
connection. The verdicts depend on the bytes that callers receive and on how their connections end.
"""

import collections
import itertools
import os
import random
import socket
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import HOST, KEY, Deployment, run_cases, wait_until  # noqa: E402
from platform_standins import EndpointHandler, reset  # noqa: E402

TIMEOUT_S = 30
# More than the kernel buffers of the gateway and of an endpoint that does not read, and within the limit on bodies.
LONG_BODY = b"x" * 4_190_000
SHORT_BODY = b"x"
PLAIN_PARTS = [b"A" * 400, b"B" * 400]
EVENTS = [f"id: {number}\ndata: event {number}\n\n".encode() for number in range(1, 7)]
# Between the last bytes of a response and the end of its connection: the gateway receives them together or apart.
PAUSES_S = (0, 0.05)
RANDOM_BREAKS, RANDOM_SEED = 40, 1
RETRY_SLACK = 1000
VERSIONS = ("1.1", "1.0")
# Time of streams whose endpoints go on for longer.
STREAM_TIME_S = 3


# Framings: the field of the head and the bytes of a body of which some parts are sent.
def length(parts, sent):
    return b"Content-Length: %d\r\n" % sum(map(len, parts)), b"".join(parts[:sent])


def chunks(parts, sent):
    body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts[:sent])
    return b"Transfer-Encoding: chunked\r\n", body + (b"0\r\n\r\n" if sent == len(parts) else b"")


def until_close(parts, sent):
    return b"Connection: close\r\n", b"".join(parts[:sent])


def unfinished_trailer(parts, sent):
    field, body = chunks(parts, sent)
    return field, body[:-2] + b"X-A: 1\r\n"


def chunks_without_last(parts, sent):
    field, body = chunks(parts, sent)
    return field, body[:-len(b"0\r\n\r\n")]


# Ends of a connection. All but the reset are sound ends of a response without a length.
def ends_by_reset(handler):
    reset(handler.connection)


def ends_after_reading(handler):
    handler.read_request()
    handler.close()


def ends_before_reading(handler):
    handler.connection.shutdown(socket.SHUT_WR)
    handler.read_request()
    handler.close()


def ends_without_reading(handler):
    """The kernel resets the connection because of the unread bytes, but the sending side was ended before."""
    handler.connection.shutdown(socket.SHUT_WR)
    time.sleep(handler.server.script.pause_s)
    handler.close()


def stops_reading(handler):
    """The kernel of the gateway gives up the connection after some time, as it can't write the request."""
    handler.server.callers_done.wait(TIMEOUT_S)
    reset(handler.connection)


def ends_by_folded_trailer(handler):
    handler.connection.sendall(b"0\r\nX-A: 1\r\n X-B: 2\r\n\r\n")
    ends_after_reading(handler)


def ends_by_trailer_with_blank_in_name(handler):
    handler.connection.sendall(b"0\r\nX A: 1\r\n\r\n")
    ends_after_reading(handler)


SOUND_ENDS = (ends_after_reading, ends_before_reading, ends_without_reading)


class Script(collections.namedtuple("Script", "framing sent early end pause_s attempts", defaults=(1,))):
    """A response by hand, which is sent before the body of the request is read if it is `early`.

    The first `attempts` of a request get it, at whichever endpoints.
    """

    def __str__(self):
        when = "early" if self.early else "late"
        return f"{when} {self.framing.__name__}, {self.sent} parts, {self.end.__name__} after {self.pause_s:.4f} s"

    def request_body(self):
        return LONG_BODY if self.early else SHORT_BODY


def broken_scripts(count):
    """Responses with `count` parts that are broken off."""
    sent = count // 2
    for early, pause_s in itertools.product((False, True), PAUSES_S):
        # Callers can't tell whether all parts were sent.
        yield Script(until_close, sent, early, ends_by_reset, pause_s)
        yield Script(until_close, count, early, ends_by_reset, pause_s)
        for framing, end in itertools.product((length, chunks), (ends_by_reset, *SOUND_ENDS)):
            yield Script(framing, sent, early, end, pause_s)
        for end in (ends_by_reset, ends_after_reading):
            yield Script(unfinished_trailer, count, early, end, pause_s)
        for end in (ends_by_folded_trailer, ends_by_trailer_with_blank_in_name):
            yield Script(chunks_without_last, count, early, end, pause_s)


def whole_scripts(count):
    for framing, end, pause_s in itertools.product((length, chunks, until_close), SOUND_ENDS, PAUSES_S):
        yield Script(framing, count, True, end, pause_s)
    for framing in (length, chunks, until_close):
        yield Script(framing, count, False, ends_after_reading, 0)


class Arrivals:
    """Counts how often each request arrived at the endpoints."""

    def __init__(self):
        self.lock, self.counts = threading.Lock(), collections.Counter()

    def next_number(self, request):
        with self.lock:
            self.counts[request] += 1
            return self.counts[request]


class ScriptedHandler(EndpointHandler):
    """Answers as the endpoint's script says; without one, as the other stand-ins do."""

    timeout = TIMEOUT_S
    answered = 0
    is_request_read = False

    def do_POST(self):
        script = self.server.script
        if script and self.server.arrivals.next_number(self.headers["Request-Id"]) <= script.attempts:
            return self.answer_by_script(script)
        self.handle_request()
        self.answered += 1

    def response_headers(self, request):
        # Announced, since the gateway would lose a request that it sends while the connection is being closed.
        closing = [] if self.server.keeps_connections else [("Connection", "close")]
        return super().response_headers(request) + closing

    def answer_by_script(self, script):
        self.close_connection = True
        self.server.broken_connections.add("kept" if self.answered else "fresh")
        request = self.headers["Request-Id"]
        self.server.runs[request] += 1
        if not script.early:
            self.read_request()
        field, body = script.framing(self.server.parts, script.sent)
        seal = f"Request-Id: {request}\r\nResponse-Seal: seal-{request}\r\n".encode()
        self.connection.sendall(b"HTTP/1.1 200 OK\r\n" + seal + field + b"\r\n" + body)
        time.sleep(script.pause_s)
        script.end(self)

    def read_request(self):
        if not self.is_request_read:
            self.is_request_read = True
            self.body()

    def close(self):
        """Closes the connection at once; the HTTP server would end the sending side before."""
        self.rfile.close()
        self.wfile.close()
        os.close(self.connection.detach())

    def finish(self):
        if self.connection.fileno() >= 0:
            super().finish()


class Received(collections.namedtuple("Received", "status body complete")):
    def __str__(self):
        return f"{self.status}, {len(self.body)} bytes, complete {self.complete}"


def receive(connection, begun):
    """Reads a response as a caller does that trusts its framing and the end of the connection.

    Sets the event `begun`, if there is one, with the first bytes.
    """
    data, is_reset = b"", False
    try:
        while part := connection.recv(65536):
            data += part
            if begun:
                begun.set()
    except ConnectionResetError:
        is_reset = True
    head, _, body = data.partition(b"\r\n\r\n")
    if not head:
        return Received(None, b"", False)
    lines = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
    fields = {name.strip().lower(): value.strip() for name, _, value in lines}
    status = int(head[9:12])
    if b"content-length" in fields:
        return Received(status, body, len(body) == int(fields[b"content-length"]))
    if b"transfer-encoding" not in fields:
        return Received(status, body, not is_reset)
    whole = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        count = int(size, 16)
        if count == 0:
            return Received(status, whole, rest == b"\r\n")
        whole, body = whole + rest[:count], rest[count + 2:]
    return Received(status, whole, False)


def call(gateway, path, body, version="1.1", timeout_s=TIMEOUT_S, begun=None):
    """Returns the id of a request and its response."""
    request = uuid.uuid4().hex[:16]
    lines = (f"POST {path} HTTP/{version}", f"Host: {HOST}", f"Request-Id: {request}", "Connection: close",
             f"Deadline-Ms: {int(timeout_s * 1000)}", f"Authorization: Bearer {KEY}", f"Content-Length: {len(body)}")
    with socket.create_connection((gateway.ip, gateway.ports[0]), timeout=TIMEOUT_S) as connection:
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return request, receive(connection, begun)


def call_scripted(deployment, endpoints, path, script, *arguments):
    """Calls while the endpoints answer by the script. Paths have to differ: requests under which endpoints seem to
    crash are kept from them.
    """
    for endpoint in endpoints:
        endpoint.script = script
        endpoint.callers_done.clear()
    request, answer = call(deployment.gateways[0], path, script.request_body(), *arguments)
    for endpoint in endpoints:
        endpoint.script = None
        endpoint.callers_done.set()
    return request, answer


def wait_for_service(deployment, path):
    """Waits until the endpoints are used again, which makes idle connections to them as well."""
    wait_until(lambda: [deployment.gateways[0].call(path).status for _ in range(4)] == [200] * 4,
               "the endpoints to be used again")


def check_all(failures):
    assert not failures, "\n  " + "\n  ".join(failures)


def make_deployment(bin_folder):
    deployment = Deployment(bin_folder)
    # Each request that may be tried elsewhere has to be, though many attempts fail.
    deployment.bounds["retry_slack"] = RETRY_SLACK
    arrivals = Arrivals()
    for endpoint in deployment.endpoints:
        endpoint.RequestHandlerClass = ScriptedHandler
        endpoint.parts = EVENTS if endpoint.events else PLAIN_PARTS
        endpoint.script, endpoint.arrivals, endpoint.callers_done = None, arrivals, threading.Event()
        endpoint.keeps_connections, endpoint.broken_connections = True, set()
    for route in deployment.routes:
        route["timeout_ms"] = TIMEOUT_S * 1000
    return deployment


# Guards against a part of a response that a caller takes for a whole one.
def broken_responses_are_no_answers(deployment):
    plain, failures = deployment.endpoints[:2], []
    for kept in (True, False):
        for endpoint in plain:
            endpoint.keeps_connections = kept
        for number, script in enumerate(broken_scripts(len(PLAIN_PARTS))):
            wait_for_service(deployment, "/charge/sound")
            request, answer = call_scripted(deployment, plain, f"/charge/{kept}/{number}", script)
            if (answer.status, answer.complete) != (502, True):
                failures.append(f"{script}: {answer}")
            assert deployment.runs(request) == 1, f"{script}: {answer}, {answer.body}"
    connections = set().union(*(endpoint.broken_connections for endpoint in plain))
    assert connections == {"kept", "fresh"}, connections
    check_all(failures)


# Guards against a repeatable request that gets a part of a response although another endpoint can answer it.
def broken_responses_are_tried_elsewhere(deployment):
    wait_until(deployment.gateways[0].knows_entries, "the registrations to be read")
    plain, failures = deployment.endpoints[:2], []
    for number, script in enumerate(broken_scripts(len(PLAIN_PARTS))):
        wait_for_service(deployment, "/lookup/sound")
        request, answer = call_scripted(deployment, plain, f"/lookup/{number}", script)
        if answer.status != 200 or not answer.complete or request.encode() not in answer.body:
            failures.append(f"{script}: {answer}")
        assert deployment.runs(request) == 2, str(script)
    check_all(failures)


# Guards against a stream that looks complete to its caller after it was broken off. Callers with HTTP/1.0 get neither a
# length nor chunks.
def broken_streams_do_not_look_complete(deployment):
    model, failures = deployment.endpoints[2:], []
    for version in VERSIONS:
        for number, script in enumerate(broken_scripts(len(EVENTS))):
            _, answer = call_scripted(deployment, model, f"/chat/{version}/{number}", script, version)
            if answer.complete and answer.status != 502:
                failures.append(f"HTTP/{version}, {script}: {answer}")
            wait_for_service(deployment, "/chat/sound")
    check_all(failures)


# Guards against a stream that looks complete as its time has ended.
def timed_out_streams_do_not_look_complete(deployment):
    model = deployment.endpoints[2:]
    for version, framing in itertools.product(VERSIONS, (chunks, until_close)):
        script = Script(framing, 3, False, stops_reading, 0)
        _, answer = call_scripted(deployment, model, f"/chat/{version}", script, version, STREAM_TIME_S)
        assert answer == (200, b"".join(EVENTS[:3]), False), f"HTTP/{version}, {script}: {answer}"


# Guards against a stream that looks complete as the process that forwards it was killed.
def streams_of_a_killed_gateway_do_not_look_complete(deployment):
    gateway, model = deployment.gateways[0], deployment.endpoints[2:]
    for version, framing in itertools.product(VERSIONS, (chunks, until_close)):
        script, answers, begun = Script(framing, 3, False, stops_reading, 0), [], threading.Event()
        caller = threading.Thread(target=lambda: answers.append(
            call_scripted(deployment, model, f"/chat/{version}", script, version, TIMEOUT_S, begun)[1]))
        caller.start()
        assert begun.wait(TIMEOUT_S), "the stream has not begun"
        gateway.stop()
        caller.join()
        assert answers[0].status == 200 and not answers[0].complete, f"HTTP/{version}, {script}: {answers[0]}"
        gateway.start()
        wait_until(gateway.ready, "the gateway to be ready again")


# Guards against a resumable stream that ends with its first part.
def broken_streams_are_resumed(deployment):
    wait_until(deployment.gateways[0].knows_entries, "the registrations to be read")
    model, failures = deployment.endpoints[2:], []
    for number, script in enumerate(broken_scripts(len(EVENTS))):
        wait_for_service(deployment, "/match/sound")
        request, answer = call_scripted(deployment, model, f"/match/{number}", script)
        if answer.status != 200 or not answer.complete or answer.body.count(b"id: ") != len(EVENTS):
            failures.append(f"{script}: {answer}")
        assert deployment.runs(request) == 2, str(script)
    check_all(failures)


# Guards against a stream that looks complete after the attempt to resume it was broken off as well. Whether there is a
# third attempt depends on what else the endpoints seem to have crashed under.
def broken_resumed_streams_do_not_look_complete(deployment):
    wait_until(deployment.gateways[0].knows_entries, "the registrations to be read")
    model, failures = deployment.endpoints[2:], []
    for number, script in enumerate(broken_scripts(len(EVENTS))):
        wait_for_service(deployment, "/match/sound")
        script = script._replace(attempts=2)
        request, answer = call_scripted(deployment, model, f"/match/{number}", script)
        runs = deployment.runs(request)
        # A stream that has not begun can still be answered with an error.
        is_stream = answer.complete and answer.status != 502
        if is_stream != (runs == 3) or (is_stream and answer.body.count(b"id: ") != len(EVENTS)):
            failures.append(f"{runs} runs, {script}: {answer}")
    check_all(failures)


# Guards against a sound response that is taken for a broken one, as its endpoint answers before it reads the request.
def whole_responses_stay_whole(deployment):
    failures = []
    for path, endpoints in (("/charge", deployment.endpoints[:2]), ("/chat", deployment.endpoints[2:])):
        parts = endpoints[0].parts
        for number, (script, version) in enumerate(itertools.product(whole_scripts(len(parts)), VERSIONS)):
            _, answer = call_scripted(deployment, endpoints, f"{path}/{number}", script, version)
            if answer != (200, b"".join(parts), True):
                failures.append(f"{path}, HTTP/{version}, {script}: {answer}")
            wait_for_service(deployment, path + "/sound")
    check_all(failures)


# Guards against a part of a response that looks complete, as a write found that its connection had timed out.
def timeouts_of_connections_end_no_response(deployment):
    for path, endpoints in (("/charge", deployment.endpoints[:2]), ("/chat", deployment.endpoints[2:])):
        script = Script(until_close, len(endpoints[0].parts) // 2, True, stops_reading, 0)
        _, answer = call_scripted(deployment, endpoints, path + "/1", script)
        assert answer.status == 502 or not answer.complete, f"{path}, {script}: {answer}"


# Guards against orders of events that no script names: the break comes at any moment of the upload.
def breaks_at_any_moment_are_found(deployment):
    plain, generator, failures = deployment.endpoints[:2], random.Random(RANDOM_SEED), []
    for number in range(RANDOM_BREAKS):
        pause_s = generator.random() * generator.choice((0.002, 0.02))
        script = Script(until_close, 1, True, ends_by_reset, pause_s)
        _, answer = call_scripted(deployment, plain, f"/charge/{number}", script)
        if (answer.status, answer.complete) != (502, True):
            failures.append(f"{script}: {answer}")
    check_all(failures)


run_cases((broken_responses_are_no_answers, broken_responses_are_tried_elsewhere, broken_streams_do_not_look_complete,
           timed_out_streams_do_not_look_complete, streams_of_a_killed_gateway_do_not_look_complete,
           broken_streams_are_resumed, broken_resumed_streams_do_not_look_complete, whole_responses_stay_whole,
           timeouts_of_connections_end_no_response, breaks_at_any_moment_are_found),
          make_deployment, 1)
