#!/usr/bin/env python3
"""Cold endpoints get few requests from all entries together, and the rest of the load goes elsewhere.

Each case runs several gateways against stand-in endpoints that state that they are cold, under a load far above what
these accept. In no second may such an endpoint get more requests than the bound of the settings, whatever happens to
the entries.
"""

import collections
import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import Deployment, Load, run_cases, wait_until  # noqa: E402
from platform_standins import Endpoint  # noqa: E402

GATEWAYS = 6
WARMUP_S, PER_SECOND, EXCESS, SLACK = 12, 8, 1.5, 5
BOUND = PER_SECOND * EXCESS + SLACK
# Longer than the time after which a started entry uses its shares.
SETTLE_S = 10
# Interval at which a cold endpoint renews its entry in the list.
HEARTBEAT_S = 0.5
REFUSED = 503
# Objective for responses. It is longer than the expected wait with all callers at one endpoint, so that requests are
# not refused because the machine of the test is busy.
OBJECTIVE_MS = 4000
# The endpoints that are warm have few slots for the load, so that the cold ones are wanted although they are slow.
DELAY_S, SLOTS = 0.06, 4
# Delay and slots of the endpoints that serve the load beside starting ones. With two requests running, they are
# expected to take longer than a cold endpoint. The 18 callers keep at least five running as long as a call takes less
# than 0.34 s in addition to the delay, so cold endpoints are wanted on a busy machine too.
BUSY_DELAY_S, BUSY_SLOTS, NEW_SLOTS = 0.15, 1, 4
# Time for a change of the list, or for a response with the cold time, to reach all entries.
NOTICE_S = 3


def make_deployment(binaries):
    deployment = Deployment(binaries)
    deployment.bounds = {"cold_excess": EXCESS, "cold_slack": SLACK}
    deployment.plain_rules = {"warmup_s": WARMUP_S, "cold_per_s": PER_SECOND}
    deployment.routes[0]["slo_ms"] = OBJECTIVE_MS
    for endpoint in deployment.endpoints[:2]:
        endpoint.delay_s, endpoint.slots = DELAY_S, SLOTS
    return deployment


class Heartbeats:
    """Renews the entries of endpoints in the list while they are cold."""

    def __init__(self, deployment, endpoints):
        self.deployment, self.endpoints, self.stopping = deployment, endpoints, threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while True:
            for endpoint in self.endpoints:
                self.deployment.store.put("servers/" + endpoint.name, endpoint.entry())
            if self.stopping.wait(HEARTBEAT_S):
                return

    def stop(self):
        self.stopping.set()
        self.thread.join()


def check_bound(endpoints, notice_s=0):
    for endpoint in endpoints:
        most = endpoint.cold.most_in_second(notice_s)
        print(f"{endpoint.name}: {len(endpoint.cold.arrivals)} requests, at most {most} in a second while cold",
              flush=True)
        assert most <= BOUND, f"{endpoint.name}: {most} requests in a second, allowed {BOUND}"


def check_refusals(deployment, load):
    for _, answer in load.answers:
        if answer.status == REFUSED:
            assert deployment.runs(answer.request) == 0, f"{answer.request} was refused and executed"
            assert float(answer.headers["Retry-After"]) > 0, answer.headers


def arrivals(endpoint, since, until=float("inf")):
    return sum(since <= received < until for _, received, _ in endpoint.cold.arrivals)


def start_cold(deployment, names):
    """Adds endpoints of the plain service that start now."""
    endpoints = [Endpoint(name, "plain", "a", BUSY_DELAY_S) for name in names]
    for endpoint in endpoints:
        endpoint.started_ms = int(1000 * time.time())
        # Few, so that the load is divided among them once they are warm, even if one was slower for a moment.
        endpoint.slots = NEW_SLOTS
        endpoint.cold.begin(WARMUP_S)
    deployment.endpoints += endpoints
    return endpoints


def zone_returns_under_load(deployment):
    """Two endpoints start; meanwhile an entry is killed and restarted and others freeze, join and leave."""
    for endpoint in deployment.endpoints[:2]:
        endpoint.delay_s, endpoint.slots = BUSY_DELAY_S, BUSY_SLOTS
        deployment.store.put("servers/" + endpoint.name, endpoint.entry())
    time.sleep(SETTLE_S)
    load = Load(deployment.gateways)
    try:
        time.sleep(2)
        new = start_cold(deployment, ["p2", "p3"])
        heartbeats = Heartbeats(deployment, new)
        started = time.monotonic()
        time.sleep(2)
        first, second, third = deployment.gateways[:3]
        first.stop()
        second.signal(signal.SIGSTOP)
        time.sleep(1)
        first.start()
        time.sleep(2)
        second.signal(signal.SIGCONT)
        third.signal(signal.SIGTERM)
        wait_until(lambda: not third.alive(), "the entry to stop")
        third.start()
        wait_until(third.ready, "the entry to be ready")
        time.sleep(max(0, started + WARMUP_S - 1 - time.monotonic()))
        cold_until = time.monotonic()
        used = [arrivals(endpoint, started + 1, cold_until) for endpoint in new]
        time.sleep(4)
        warm_since = time.monotonic()
        time.sleep(4)
        heartbeats.stop()
    finally:
        load.stop()
    check_bound(new)
    check_refusals(deployment, load)
    least = 0.3 * PER_SECOND * (cold_until - started - 1)
    assert min(used) >= least, f"{used} requests while cold, expected {least:.0f}"
    warm = [arrivals(endpoint, warm_since) for endpoint in deployment.endpoints[:2] + new]
    assert min(warm[2:]) >= 0.3 * max(warm), f"arrivals once warm: {warm}"
    # Endpoints that are not cold serve what the cold ones can't; only calls to entries that were stopped may fail.
    statuses = load.statuses()
    refusals = collections.Counter(json.loads(answer.body)["error"]["code"]
                                   for _, answer in load.answers if answer.status == REFUSED)
    print("statuses", dict(statuses), "refusals", dict(refusals), "arrivals once warm", warm, flush=True)
    # An entry that is stopped says so.
    assert statuses[REFUSED] - refusals["stopping"] <= 0.01 * sum(statuses.values()), (statuses, refusals)


def all_cold(deployment):
    """All endpoints of a service state in responses that they are cold again: few requests, the others are refused."""
    plain = deployment.endpoints[:2]
    time.sleep(SETTLE_S)
    load = Load(deployment.gateways)
    try:
        time.sleep(1)
        for endpoint in plain:
            endpoint.cold.in_responses = True
            endpoint.cold.begin(WARMUP_S)
        heartbeats = Heartbeats(deployment, plain)
        started = time.monotonic()
        time.sleep(WARMUP_S - 1)
        used = [arrivals(endpoint, started + NOTICE_S) for endpoint in plain]
        refused = [answer for at, answer in load.answers if at > started + NOTICE_S and answer.status == REFUSED]
        time.sleep(4)
        since = time.monotonic()
        time.sleep(2)
        heartbeats.stop()
    finally:
        load.stop()
    check_bound(plain, NOTICE_S)
    check_refusals(deployment, load)
    print("used", used, "refused", len(refused), flush=True)
    assert min(used) >= 0.3 * PER_SECOND * (WARMUP_S - 1 - NOTICE_S), used
    assert any(b"cold_start" in answer.body for answer in refused), [answer.body for answer in refused[:3]]
    assert set(load.statuses(since)) == {200}, load.statuses(since)
    assert any('reason="cold_start"' in gateway.metrics() for gateway in deployment.gateways)


run_cases([zone_returns_under_load, all_cold], make_deployment, GATEWAYS)
