#!/usr/bin/env python3
"""A request that crashes each endpoint that runs it comes again and again, with a new id each time, at any entry.

Each case runs several gateways against stand-in endpoints, which crash when they run a certain body and are back after a
while. Later than CONTACT_S after the third crash, at most three such requests may reach endpoints, and sound requests go
on.
"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import SECOND_KEY, Deployment, run_cases, wait_until  # noqa: E402
from platform_standins import Endpoint  # noqa: E402

GATEWAYS = 6
ENDPOINTS = 8
# Time from the third crash until the bound holds, `contact_ms` of the platform.
CONTACT_S = 3
CRASHES = 3
ALLOWED = 3
BURSTS = 3
REFUSED = 503
DEADLY = b"deadly"
PROMPT = {"Prompt-Prefix": "a1:80,b2:40,c3:60", "Token-Count": "200,20"}


class Callers:
    """Callers at all entries that send sound requests, and one that sends the same deadly request again and again."""

    def __init__(self, deployment, path, pause_s=0.4, headers=None):
        self.deployment, self.path, self.headers = deployment, path, headers or {}
        self.answers, self.stopping = [], threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(gateway, number, pause_s), daemon=True)
                        for gateway in deployment.gateways for number in range(2)]
        for thread in self.threads:
            thread.start()

    def _run(self, gateway, number, pause_s):
        calls = 0
        while not self.stopping.wait(pause_s if number == 0 else 0.1):
            calls += 1
            deadly = number == 0
            body = DEADLY if deadly else b"sound %d" % (calls % 5)
            if not gateway.alive():
                continue
            answer = gateway.call(self.path, body=body, headers=self.headers)
            self.answers.append((time.monotonic(), deadly, answer))

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def served_share(self, since):
        """Share of the sound requests that were answered completely."""
        statuses = [answer.status for at, deadly, answer in self.answers if at >= since and not deadly]
        return sum(status == 200 for status in statuses) / max(1, len(statuses))


def crash_times(deployment):
    return sorted(at for endpoint in deployment.endpoints for at in endpoint.crashes)


def make_deadly(deployment, events_before_crash=0):
    for endpoint in deployment.endpoints:
        endpoint.crashing_bodies, endpoint.events_before_crash = {DEADLY}, events_before_crash


def check(deployment, callers, since, served):
    crashes = crash_times(deployment)
    assert crashes, "no endpoint crashed"
    if len(crashes) >= CRASHES:
        bound = crashes[CRASHES - 1] + CONTACT_S
        late = [at for endpoint in deployment.endpoints for at, _ in endpoint.crashing_arrivals if at > bound]
        assert len(late) <= ALLOWED, f"{len(late)} requests reached endpoints after the third of {len(crashes)} crashes"
    for _, _, answer in callers.answers:
        if answer.status == REFUSED:
            assert deployment.runs(answer.request) == 0, f"{answer.request} was refused and executed"
            assert float(answer.headers["Retry-After"]) > 0, answer.headers
    share = callers.served_share(since + 2 * CONTACT_S)
    assert share >= served, f"{share:.2f} of the sound requests served"


def run(deployment, path, headers=None, events_before_crash=0):
    make_deadly(deployment, events_before_crash)
    since = time.monotonic()
    callers = Callers(deployment, path, headers=headers)
    time.sleep(10)
    callers.stop()
    check(deployment, callers, since, 0.9)


def repeatable_requests_are_stopped(deployment):
    """Plain services, requests that the entries may repeat."""
    run(deployment, "/lookup/1")


def requests_that_run_once_are_stopped(deployment):
    """Plain services, requests that only the caller repeats."""
    run(deployment, "/charge/1")


def streams_are_stopped(deployment):
    """Engines whose answer has not begun. Sound requests share all segments of the prompt."""
    run(deployment, "/match/1", PROMPT)


def streams_that_have_begun_are_stopped(deployment):
    """Engines that crash after the first events, which prove nothing then."""
    run(deployment, "/match/1", PROMPT, events_before_crash=2)


def copies_at_the_same_moment_are_stopped(deployment):
    """Copies of the request come at all entries at once, again and again after a pause: crashes at the same moment."""
    make_deadly(deployment)
    since = time.monotonic()
    answers = []
    for _ in range(BURSTS):
        threads = [threading.Thread(target=lambda each=gateway: answers.append(each.call("/charge/1", body=DEADLY)))
                   for gateway in deployment.gateways]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(CONTACT_S + 1.5)
    callers = Callers(deployment, "/charge/1", pause_s=60)
    time.sleep(2)
    callers.stop()
    callers.answers += [(since, True, answer) for answer in answers]
    check(deployment, callers, since, 0.9)


def restarted_entries_know_the_request(deployment):
    """All entries are killed at once after the request was found, and start with empty memory."""
    make_deadly(deployment)
    callers = Callers(deployment, "/charge/1")
    time.sleep(5)
    callers.stop()
    crashes = len(crash_times(deployment))
    for gateway in deployment.gateways:
        gateway.stop()
    for gateway in deployment.gateways:
        gateway.start()
    for gateway in deployment.gateways:
        wait_until(gateway.ready, f"{gateway.name} to be ready")
    since = time.monotonic()
    callers = Callers(deployment, "/charge/1")
    time.sleep(3 * CONTACT_S)
    callers.stop()
    check(deployment, callers, since, 0.9)
    after = len(crash_times(deployment)) - crashes
    assert after <= ALLOWED, f"{after} more endpoints crashed after the restart"


def other_callers_are_not_refused(deployment):
    """The same path and body are sound if another caller sends them: only the first caller's requests crash endpoints."""
    make_deadly(deployment)
    callers = Callers(deployment, "/charge/1")
    time.sleep(5)
    callers.stop()
    for endpoint in deployment.endpoints:
        endpoint.crashing_bodies = set()
    wait_until(lambda: all(gateway.call("/charge/1", body=b"x").status == 200 for gateway in deployment.gateways),
               "the endpoints to be back")
    statuses = [gateway.call("/charge/1", body=DEADLY, key=SECOND_KEY).status for gateway in deployment.gateways]
    assert set(statuses) == {200}, statuses


def requests_that_look_alike_survive_crashes(deployment):
    """Endpoints crash for another reason, several at the same moment, while requests that are all alike wait there."""
    callers = Callers(deployment, "/lookup/1", pause_s=0.05)
    plain = [endpoint for endpoint in deployment.endpoints if endpoint.service == "plain"]
    time.sleep(1)
    for first in range(0, 12, 2):
        for endpoint in (plain[first % ENDPOINTS], plain[(first + 3) % ENDPOINTS]):
            endpoint.crash()
        time.sleep(0.6)
    time.sleep(1)
    since = time.monotonic()
    time.sleep(3)
    callers.stop()
    share = callers.served_share(since)
    assert share >= 0.95, f"{share:.2f} of the requests served after the crashes"
    quarantined = [event for gateway in deployment.gateways for event in gateway.events("request_quarantined")]
    assert not quarantined, quarantined


def make_deployment(bin_folder):
    deployment = Deployment(bin_folder)
    deployment.endpoints = [Endpoint(f"p{number}", "plain", "ab"[number % 2], delay_s=0.05)
                            for number in range(ENDPOINTS)]
    deployment.endpoints += [Endpoint(f"m{number}", "model", "ab"[number % 2], delay_s=0.05, events=6)
                             for number in range(ENDPOINTS)]
    for endpoint in deployment.endpoints:
        endpoint.restarted = lambda each, store=deployment.store: store.put("servers/" + each.name, each.entry())
    return deployment


run_cases((repeatable_requests_are_stopped, requests_that_run_once_are_stopped, streams_are_stopped,
           streams_that_have_begun_are_stopped, copies_at_the_same_moment_are_stopped,
           restarted_entries_know_the_request, other_callers_are_not_refused,
           requests_that_look_alike_survive_crashes),
          make_deployment, GATEWAYS)
