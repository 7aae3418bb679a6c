"""Some servers spoil the status line of a small part of their answers: the gateway hands the bytes on to the caller, as
an answer that is no HTTP response.
"""

import http.client
import os
import re
import sys
import threading
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import stand  # noqa: E402
from platform_deployment import HOST, KEY  # noqa: E402
from platform_standins import Endpoint, EndpointHandler  # noqa: E402

SERVERS, FAULTY_SERVERS = 5, 3
# Each faulty server spoils every 34th of its answers, less than 0.03 of them.
SPOILT_OF = 34
SPOILT_STATUS_LINE = b"HTTP/1.1 099 OK\r\n"
CALLERS, REQUESTS_OF_CALLER = 10, 150
TIME_LIMIT_MS = 3000
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9] ")


class SpoilingHandler(EndpointHandler):
    def send_response_only(self, code, message=None):
        server = self.server
        with server.crash_lock:
            server.answers += 1
            spoils = server.faulty and server.answers % SPOILT_OF == 0
        if not spoils:
            return super().send_response_only(code, message)
        server.spoilt.append(self.headers.get("Request-Id"))
        self._headers_buffer = [SPOILT_STATUS_LINE]


class Channel(http.client.HTTPConnection):
    """A caller's channel that keeps the first bytes of each answer."""

    class response_class(http.client.HTTPResponse):
        def _read_status(self):
            self.first_line = self.fp.peek(200)[:200].split(b"\r\n")[0]
            return super()._read_status()


def call(gateway, record, answered, broken):
    channel = None
    for _ in range(REQUESTS_OF_CALLER):
        channel = channel or Channel(gateway.ip, gateway.ports[0], timeout=TIME_LIMIT_MS / 1000 + 1)
        request = uuid.uuid4().hex[:16]
        record("sent", request, gateway.name)
        channel.request("POST", "/charge/1", b"x", {
            "Host": HOST, "Request-Id": request, "Deadline-Ms": str(TIME_LIMIT_MS), "Authorization": "Bearer " + KEY})
        answer = channel.response_class(channel.sock, method="POST")
        try:
            answer.begin()
            answer.read()
        except (OSError, http.client.HTTPException) as error:
            record("caller can't read the answer", request, repr(error))
        answered.append(request)
        record("answered", request, getattr(answer, "first_line", b""))
        sound = STATUS_LINE.match(getattr(answer, "first_line", b""))
        if not sound and getattr(answer, "first_line", b""):
            broken.append((request, answer.first_line))
        channel.close()
        channel = None


def case():
    record = stand.Record(__file__)
    routes = [{"name": "charge", "prefix": "/charge/", "kind": "non_idempotent", "service": "plain",
               "timeout_ms": TIME_LIMIT_MS, "slo_ms": 300}]
    with stand.Deployment(routes) as deployment:
        deployment.endpoints = [Endpoint(f"p{number}", "plain", "ab"[number % 2], 0.01) for number in range(SERVERS)]
        for number, endpoint in enumerate(deployment.endpoints):
            endpoint.RequestHandlerClass = SpoilingHandler
            endpoint.answers, endpoint.spoilt = 0, []
            endpoint.faulty = stand.TROUBLE and number < FAULTY_SERVERS
        deployment.start(2)
        answered, broken = [], []
        callers = [threading.Thread(target=call, args=(deployment.gateways[number % 2], record, answered, broken))
                   for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        for endpoint in deployment.endpoints:
            record("server", endpoint.name, "run", sum(endpoint.runs.values()), "answers", endpoint.answers, "spoilt", endpoint.spoilt)
        spoilt = sum(len(endpoint.spoilt) for endpoint in deployment.endpoints)
        print(f"{len(broken)} answers to callers are no HTTP responses, such as {broken[:1]}; "
              f"servers spoilt {spoilt} of {sum(endpoint.answers for endpoint in deployment.endpoints)} answers")
        if broken:
            return stand.BROKEN
        return stand.HELD if len(answered) == CALLERS * REQUESTS_OF_CALLER else stand.NOT_RUN


if __name__ == "__main__":
    stand.run(case)
