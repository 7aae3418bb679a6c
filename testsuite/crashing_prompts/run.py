#!/usr/bin/env python3
"""Requests with a prompt segment that crashes engines reach few of them, and other requests go on.

Each case runs several gateways against stand-in engines. An engine crashes when it begins to answer a request with a
certain shared segment, and is back after a while. Later than CONTACT_S after the fifth crash, at most three such requests
may reach engines.
"""

import os
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import Deployment, run_cases, wait_until  # noqa: E402
from platform_standins import Endpoint  # noqa: E402

GATEWAYS = 6
ENGINES = 8
# Time from the fifth crash until the bound holds, `contact_ms` of the platform.
CONTACT_S = 3
CRASHES = 5
ALLOWED = 3
CALL_PAUSE_S = 0.1
REFUSED = 503
TAINTED = "dead"


class Callers:
    """Callers that send streams to all entries until they are stopped; a share of them with the tainted segment."""

    def __init__(self, deployment, tainted_share):
        self.answers, self.stopping = [], threading.Event()
        self.tainted_share = tainted_share
        self.threads = [threading.Thread(target=self._run, args=(gateway, number), daemon=True)
                        for gateway in deployment.gateways for number in range(3)]
        for thread in self.threads:
            thread.start()

    def _run(self, gateway, number):
        calls = 0
        while not self.stopping.wait(CALL_PAUSE_S):
            calls += 1
            tainted = self.tainted_share > 0 and calls % round(1 / self.tainted_share) == number
            if not gateway.alive():
                continue
            # The tainted request shares its first and third segment with others.
            second = TAINTED if tainted else "b%d" % (calls % 4)
            prompt = f"a1:80,{second}:40,c{number}:20,{uuid.uuid4().hex[:8]}:60"
            answer = gateway.call("/match/1", headers={"Prompt-Prefix": prompt, "Token-Count": "200,20"})
            self.answers.append((time.monotonic(), tainted, answer))

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def served_share(self, since, until=float("inf")):
        """Share of the sound requests that were answered completely."""
        statuses = [answer.status for at, tainted, answer in self.answers if since <= at < until and not tainted]
        return sum(status == 200 for status in statuses) / max(1, len(statuses))


def engines(deployment):
    return [endpoint for endpoint in deployment.endpoints if endpoint.service == "model"]


def crash_times(deployment):
    return sorted(at for engine in engines(deployment) for at in engine.crashes)


def taint(deployment):
    for engine in engines(deployment):
        engine.crashing_segments = {TAINTED}


def check_arrivals(deployment):
    crashes = crash_times(deployment)
    if len(crashes) < CRASHES:
        return
    bound = crashes[CRASHES - 1] + CONTACT_S
    late = [at for engine in engines(deployment) for at, _ in engine.crashing_arrivals if at > bound]
    assert len(late) <= ALLOWED, f"{len(late)} requests reached engines after the fifth of {len(crashes)} crashes"


def check_refusals(deployment, callers):
    for _, _, answer in callers.answers:
        if answer.status == REFUSED:
            assert deployment.runs(answer.request) == 0, f"{answer.request} was refused and executed"
            assert float(answer.headers["Retry-After"]) > 0, answer.headers


def tainted_requests_are_stopped(deployment):
    """The tainted requests come at all entries, no two alike."""
    callers = Callers(deployment, 0)
    time.sleep(2)
    taint(deployment)
    callers.tainted_share = 0.1
    since = time.monotonic()
    time.sleep(10)
    callers.stop()
    assert crash_times(deployment), "no engine crashed"
    check_arrivals(deployment)
    check_refusals(deployment, callers)
    share = callers.served_share(since + 2 * CONTACT_S)
    assert share >= 0.9, f"{share:.2f} of the sound requests served"


def restarted_entries_know_the_segment(deployment):
    """All entries are killed at once after the segment was found, and start with empty memory."""
    taint(deployment)
    callers = Callers(deployment, 0.1)
    time.sleep(5)
    # The trial on probation may come later; entries that are killed before are tested below.
    wait_until(lambda: any(key[len("quarantine/"):].isdigit() for key in quarantine_keys(deployment)), "the quarantine")
    restart_and_check(deployment, callers)


def entries_restarted_during_probation_know_the_segment(deployment):
    """Guards against a probation that only memory holds: 24 requests reached engines after entries were killed."""
    taint(deployment)
    callers = Callers(deployment, 0.1)
    wait_until(lambda: quarantine_keys(deployment), "a stored probation or quarantine")
    restart_and_check(deployment, callers)


def quarantine_keys(deployment):
    return [key for key in list(deployment.store.items) if key.startswith("quarantine/")]


def restart_and_check(deployment, callers):
    """Kills all entries, and checks what reaches engines after their start."""
    callers.stop()
    crashes = len(crash_times(deployment))
    for gateway in deployment.gateways:
        gateway.stop()
    for gateway in deployment.gateways:
        gateway.start()
    for gateway in deployment.gateways:
        wait_until(gateway.ready, f"{gateway.name} to be ready")
    time.sleep(CONTACT_S)
    callers = Callers(deployment, 0.1)
    time.sleep(4)
    callers.stop()
    check_arrivals(deployment)
    after = len(crash_times(deployment)) - crashes
    assert after <= ALLOWED, f"{after} more engines crashed after the restart"


def crashes_without_a_cause_stop_nothing(deployment):
    """Engines crash at random while requests that share segments wait there; several at the same moment."""
    callers = Callers(deployment, 0)
    time.sleep(1)
    for first in range(0, 12, 2):
        for engine in (engines(deployment)[first % ENGINES], engines(deployment)[(first + 3) % ENGINES]):
            engine.crash()
        time.sleep(0.6)
    time.sleep(1)
    since = time.monotonic()
    time.sleep(3)
    callers.stop()
    check_refusals(deployment, callers)
    share = callers.served_share(since)
    assert share >= 0.95, f"{share:.2f} of the requests served after the crashes"
    quarantined = [event for gateway in deployment.gateways for event in gateway.events("segment_quarantined")]
    assert not quarantined, quarantined


def make_deployment(bin_folder):
    deployment = Deployment(bin_folder)
    deployment.endpoints = deployment.endpoints[:2] + [
        Endpoint(f"m{number}", "model", "ab"[number % 2], delay_s=0.05, events=6) for number in range(ENGINES)]
    for engine in engines(deployment):
        engine.restarted = lambda each, store=deployment.store: store.put("servers/" + each.name, each.entry())
    return deployment


run_cases((tainted_requests_are_stopped, restarted_entries_know_the_segment,
           entries_restarted_during_probation_know_the_segment, crashes_without_a_cause_stop_nothing),
          make_deployment, GATEWAYS)
