#!/usr/bin/env python3
"""Bytes of an endpoint reach a caller only if they are an HTTP response that can be forwarded.

Each case lets endpoints answer with given bytes and reads the bytes that callers receive.
"""

import collections
import os
import random
import re
import socket
import sys
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import HOST, KEY, Deployment, run_cases, wait_until  # noqa: E402

CALLER_TIMEOUT_S = 5
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [2-5][0-9][0-9] [\t -~\x80-\xff]*\r\n")
SEAL = b"Request-Id: {id}\r\nResponse-Seal: seal-{id}\r\n"
MUTATED_RESPONSES = 150
MUTATION_SEED = 1

# Response of an endpoint, and what the caller of a request that must not be repeated gets.
Row = collections.namedtuple("Row", "name response status body method closes", defaults=(b"hello", "POST", False))


def response(status_line=b"HTTP/1.1 200 OK", fields=b"Content-Length: 5\r\n", body=b"hello"):
    return status_line + b"\r\n" + SEAL + fields + b"\r\n" + body


SOUND = [
    Row("plain", response(), 200),
    Row("without a reason", response(b"HTTP/1.1 202 "), 202),
    Row("reason with spaces", response(b"HTTP/1.1 201 Made  to order "), 201),
    Row("unknown status of a class", response(b"HTTP/1.1 299 Odd"), 299),
    Row("least error status", response(b"HTTP/1.1 400 Bad"), 400),
    Row("greatest status", response(b"HTTP/1.1 599 Odd"), 599),
    Row("former version", response(b"HTTP/1.0 200 OK"), 200),
    Row("body until the connection closes", response(b"HTTP/1.0 200 OK", b""), 200, closes=True),
    Row("chunks", response(fields=b"Transfer-Encoding: chunked\r\n", body=b"2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nA: b\r\n\r\n"), 200),
    Row("repeated field", response(fields=b"X-A: 1\r\nX-A: 2\r\nContent-Length: 5\r\n"), 200),
    Row("empty field", response(fields=b"X-A:\r\nContent-Length: 5\r\n"), 200),
    Row("after an informational response", b"HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n" + response(), 200),
    Row("status without a body", response(b"HTTP/1.1 204 No Content", b"", b""), 204, b""),
    Row("HEAD", response(fields=b"Content-Length: 600\r\n", body=b""), 200, b"", method="HEAD"),
]

# Lines of fields with a blank or a control byte in, before or around a name; a blank at the begin of a line is an
# obsolete fold, which readers join with the line before it or take for a line of its own.
UNSOUND_LINES = {
    "space in a name": b"X A: 1",
    "tab in a name": b"X\tA: 1",
    "space before the colon": b"X-A : 1",
    "tab before the colon": b"X-A\t: 1",
    "control byte in a name": b"X\x01-A: 1",
    "zero byte in a name": b"X\x00-A: 1",
    "delete byte in a name": b"X\x7f-A: 1",
    "byte beyond ASCII in a name": b"X\xa0-A: 1",
    "carriage return in a name": b"X\r-A: 1",
    "line feed in a name": b"X\n-A: 1",
    "space before the first name": b" X-A: 1",
    "tab before the first name": b"\tX-A: 1",
    "fold": b"X-A: 1\r\n X-B: 2",
    "fold with a tab": b"X-A: 1\r\n\tX-B: 2",
    "fold of blanks": b"X-A: 1\r\n  ",
}
FOLDED_FRAMINGS = {
    "folded length": b"X-A: 1\r\n Content-Length: 5\r\n",
    "folded chunks": b"X-A: 1\r\n Transfer-Encoding: chunked\r\n",
    "length on a line of its own": b"Content-Length:\r\n 5\r\n",
    "length continued": b"Content-Length: 5\r\n 0\r\n",
}

UNSOUND = [
    Row("status below the first class", response(b"HTTP/1.1 099 OK"), 502),
    Row("status zero", response(b"HTTP/1.1 000 OK"), 502),
    Row("status above the last class", response(b"HTTP/1.1 600 Odd"), 502),
    Row("greatest number of three digits", response(b"HTTP/1.1 999 Odd"), 502),
    Row("status below the first class, not run", response(b"HTTP/1.1 099 Busy", b"Not-Executed: 1\r\nContent-Length: 5\r\n"), 502),
    Row("two digits", response(b"HTTP/1.1 20 OK"), 502),
    Row("four digits", response(b"HTTP/1.1 2000 OK"), 502),
    Row("no number", response(b"HTTP/1.1 2x0 OK"), 502),
    Row("protocol switch", response(b"HTTP/1.1 101 Switching Protocols", b"Upgrade: x\r\nConnection: upgrade\r\n"), 502),
    Row("unknown version", response(b"HTTP/3.7 200 OK"), 502),
    Row("control character in the reason", response(b"HTTP/1.1 200 O\x01K"), 502),
    Row("control character in a value", response(fields=b"X-A: a\x01b\r\nContent-Length: 5\r\n"), 502),
    Row("line without a name", response(fields=b": 1\r\nContent-Length: 5\r\n"), 502),
    Row("line without a colon", response(fields=b"X-A\r\nContent-Length: 5\r\n"), 502),
    Row("two lengths", response(fields=b"Content-Length: 5\r\nContent-Length: 4\r\n"), 502),
    Row("negative length", response(fields=b"Content-Length: -5\r\n"), 502),
    Row("length beside chunks", response(fields=b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                                         body=b"5\r\nhello\r\n0\r\n\r\n"), 502),
    Row("chunks beside a length", response(fields=b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                                           body=b"5\r\nhello\r\n0\r\n\r\n"), 502),
    Row("coding before chunks", response(fields=b"Transfer-Encoding: gzip, chunked\r\n",
                                         body=b"5\r\nhello\r\n0\r\n\r\n"), 502),
    Row("coding instead of chunks", response(fields=b"Transfer-Encoding: gzip\r\n"), 502, closes=True),
    Row("chunks named twice", response(fields=b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                                       body=b"5\r\nhello\r\n0\r\n\r\n"), 502),
    Row("status zero without a length", response(b"HTTP/1.1 000 OK", b""), 502, closes=True),
    Row("status zero in chunks", response(b"HTTP/1.1 000 OK", b"Transfer-Encoding: chunked\r\n",
                                          b"5\r\nhello\r\n0\r\n\r\n"), 502),
    Row("status zero after an informational response",
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + response(b"HTTP/1.1 000 OK"), 502),
    Row("status zero for HEAD", response(b"HTTP/1.1 000 OK", body=b""), 502, method="HEAD"),
]
UNSOUND += [Row(name, response(fields=line + b"\r\nContent-Length: 5\r\n"), 502) for name, line in UNSOUND_LINES.items()]
UNSOUND += [Row(name + ", until the connection closes", response(fields=line + b"\r\n"), 502, closes=True)
            for name, line in UNSOUND_LINES.items()]
UNSOUND += [Row(name + " of an informational response",
                b"HTTP/1.1 103 Early Hints\r\n" + line + b"\r\n\r\n" + response(), 502)
            for name, line in UNSOUND_LINES.items()]
UNSOUND += [Row(name + " of a trailer", response(fields=b"Transfer-Encoding: chunked\r\n",
                                                 body=b"5\r\nhello\r\n0\r\n" + line + b"\r\n\r\n"), 502)
            for name, line in UNSOUND_LINES.items()]
UNSOUND += [Row(name, response(fields=line), 502, closes=True) for name, line in FOLDED_FRAMINGS.items()]


def received(gateway, path, request, method="POST"):
    """All bytes that a caller receives on a connection of its own."""
    with socket.create_connection((gateway.ip, gateway.ports[0]), timeout=CALLER_TIMEOUT_S) as connection:
        connection.sendall((f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\nConnection: close\r\n"
                            f"Deadline-Ms: {CALLER_TIMEOUT_S * 1000}\r\nAuthorization: Bearer {KEY}\r\n"
                            "Content-Length: 1\r\n\r\nx").encode())
        return b"".join(iter(lambda: connection.recv(65536), b""))


def answer_with(endpoints, row):
    for endpoint in endpoints:
        endpoint.raw_response, endpoint.raw_closes, endpoint.raw_followers = row and row.response, row and row.closes, []


def check_row(deployment, row):
    request = uuid.uuid4().hex[:16]
    answer = received(deployment.gateways[0], "/charge/1", request, row.method)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert STATUS_LINE.match(answer) and int(answer[9:12]) == row.status, (row.name, answer)
    assert deployment.runs(request) == 1, (row.name, deployment.runs(request))
    sealed = b"Response-Seal: seal-" + request.encode() in head
    assert sealed == (row in SOUND), (row.name, head)
    if row not in SOUND:
        assert not any(field in head for field in (b"X-A", b"Upgrade", b"Not-Executed")), (row.name, head)
        return
    assert body == row.body, (row.name, body)
    sent_line, forwarded_line = row.response.split(b"\r\n")[0], head.split(b"\r\n")[0]
    if row.name != "after an informational response":
        # An empty reason, which has no meaning for callers, is replaced by the usual one of the status.
        assert forwarded_line[9:] == (sent_line[9:] if sent_line[13:] else b"202 Accepted"), (row.name, forwarded_line)
    lengths = re.findall(rb"\r\nContent-Length: (\d+)", head)
    expected = {"HEAD": [b"600"], "status without a body": []}.get(row.name, [b"5"])
    assert lengths == expected, (row.name, head)
    sent_fields = re.findall(rb"\r\nX-A:[^\r]*", row.response.split(b"\r\n\r\n")[-2 if row.body else 0])
    assert [each.replace(b" ", b"") for each in re.findall(rb"\r\nX-A:[^\r]*", head)] == [
        each.replace(b" ", b"") for each in sent_fields], (row.name, head)


# Guards against bytes of an endpoint that reach a caller as a response that no HTTP library can read, and against sound
# responses that are changed on the way.
def only_sound_heads_are_forwarded(deployment):
    plain = deployment.endpoints[:2]
    for row in SOUND + UNSOUND:
        answer_with(plain, row)
        check_row(deployment, row)
        answer_with(plain, None)
        if row in UNSOUND:
            wait_until(lambda: [deployment.gateways[0].call("/charge/1").status for _ in range(4)] == [200] * 4,
                       "the endpoints to be used again")
            followers = [request for endpoint in plain for request in endpoint.raw_followers]
            assert not followers, (row.name, "the connection was used again")
    gateway = deployment.gateways[0]
    wait_until(lambda: sum("invalid response" in event["reason"] for event in gateway.events("attempt_failed"))
               == len(UNSOUND), "the log lines of all unsound responses")
    count = re.search(r"wisteriayard_gateway_invalid_responses_total (\d+)", gateway.metrics())
    assert count and int(count.group(1)) == len(UNSOUND), count


# Guards against a request that may be repeated and fails because of one endpoint's unsound response.
def repeatable_requests_are_tried_elsewhere(deployment):
    wait_until(deployment.gateways[0].knows_entries, "the registrations to be read")
    for row in UNSOUND[:4] + [row for row in UNSOUND if "fold" in row.name]:
        answer_with(deployment.endpoints[:1], row)
        answers = [deployment.gateways[0].call("/lookup/1") for _ in range(4)]
        answer_with(deployment.endpoints[:1], None)
        assert [answer.status for answer in answers] == [200] * 4, (row.name, answers)
        assert not any(answer.body == b"hello" for answer in answers), (row.name, "an unsound response was forwarded")


def unsound_streams():
    fields = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    event = b"10\r\nid: 1\ndata: 1\n\n\n\r\n0\r\n"
    for status_line in (b"HTTP/1.1 099 OK", b"HTTP/1.1 600 OK", b"HTTP/1.1 000 OK"):
        yield Row(status_line.decode(), response(status_line, fields, event + b"\r\n"), 502)
    for name, line in UNSOUND_LINES.items():
        yield Row(name, response(fields=fields + line + b"\r\n", body=event + b"\r\n"), 502)
        yield Row(name + " of a trailer", response(fields=fields, body=event + line + b"\r\n\r\n"), 502)


# Guards against unsound heads that are forwarded at the begin of a stream, or accepted where a stream is resumed.
def unsound_heads_neither_begin_nor_resume_streams(deployment):
    model = deployment.endpoints[2:]
    for row in unsound_streams():
        answer_with(model, row)
        for path in ("/chat/1", "/match/1"):
            answer = received(deployment.gateways[0], path, uuid.uuid4().hex[:16])
            assert answer.startswith(b"HTTP/1.1 502 "), (row.name, path, answer)
        answer_with(model, None)
    for row in unsound_streams():
        if not row.name.startswith(("HTTP/1.1", "space before the colon", "control byte", "fold of blanks")):
            continue
        # The first attempt breaks at one endpoint; the others answer the attempts to resume with an unsound head.
        model[0].break_after = 3
        answer_with(model[1:], row)

        def begins_and_breaks():
            answer = received(deployment.gateways[0], "/match/1", uuid.uuid4().hex[:16])
            assert STATUS_LINE.match(answer) and not answer.endswith(b"0\r\n\r\n"), (row.name, answer)
            assert answer.count(b"HTTP/1.1") == 1, (row.name, answer)
            return answer.startswith(b"HTTP/1.1 200 ")
        wait_until(begins_and_breaks, "a stream that breaks after its begin")
        model[0].break_after = None
        answer_with(model, None)
        wait_until(lambda: [deployment.gateways[0].call("/match/1").status for _ in range(4)] == [200] * 4,
                   "the endpoints to be used again")


# Guards against status lines that no row of the table names.
def mutated_status_lines_give_sound_responses(deployment):
    generator = random.Random(MUTATION_SEED)
    statuses = collections.Counter()
    for _ in range(MUTATED_RESPONSES):
        line = bytearray(b"HTTP/1.1 200 OK")
        for _ in range(generator.randint(1, 3)):
            place = generator.randrange(len(line))
            change = generator.choice(("replace", "replace", "insert", "remove"))
            byte = generator.choice((generator.randrange(256), generator.choice(b"0123456789 ")))
            if change == "insert":
                line.insert(place, byte)
            elif change == "replace":
                line[place] = byte
            else:
                del line[place]
        row = Row("mutated", response(bytes(line)), None, closes=True)
        answer_with(deployment.endpoints[:2], row)
        answer = received(deployment.gateways[0], "/charge/1", uuid.uuid4().hex[:16])
        assert STATUS_LINE.match(answer), (bytes(line), answer)
        sound = re.fullmatch(rb"HTTP/1\.[01] [2-5][0-9][0-9] [\t -~\x80-\xff]*", bytes(line))
        assert sound or answer.startswith(b"HTTP/1.1 502 "), (bytes(line), answer)
        statuses[int(answer[9:12])] += 1
    answer_with(deployment.endpoints[:2], None)
    assert statuses[502] and statuses[200], statuses


run_cases((only_sound_heads_are_forwarded, repeatable_requests_are_tried_elsewhere,
           unsound_heads_neither_begin_nor_resume_streams, mutated_status_lines_give_sound_responses),
          Deployment, 1)
