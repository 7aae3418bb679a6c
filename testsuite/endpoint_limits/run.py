#!/usr/bin/env python3
"""Rate limits that endpoints name are kept by all entries together.

Each case runs several gateways against stand-in endpoints that name a limit, under a load far above it, and checks that
in no 4 s an endpoint gets more than one and a half times the limit plus five requests from entries that knew it
(RateLimit.violations()). A restarted entry counts as a new one; nothing else is excused.
"""

import argparse
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import Deployment, Load, wait_until  # noqa: E402

# Longer than the time after which a started entry takes part in limits.
SETTLE_S = 10
REFUSED = 503
# Delay and slots of an endpoint that serves all callers at once, but so slowly that entries with credit for another one
# prefer that. An entry keeps the response time that it measured at an endpoint, so with equal delays a few slow
# responses of a busy machine would end the demand.
SLOW_DELAY_S, SLOW_SLOTS = 0.3, 32


def limited(deployment):
    return [endpoint for endpoint in deployment.endpoints if endpoint.rate_limit.history[1:]]


def check_limits(deployment):
    for endpoint in limited(deployment):
        found = endpoint.rate_limit.violations()
        assert not found, f"{endpoint.name}: {len(found)} windows above the limit, first: {found[0]}"


def check_refusals(deployment, load):
    for _, answer in load.answers:
        if answer.status == REFUSED:
            assert deployment.runs(answer.request) == 0, f"{answer.request} was refused and executed"
            assert float(answer.headers["Retry-After"]) > 0, answer.headers


def arrivals(endpoint, since, until=float("inf")):
    return sum(since <= at < until for at, *_ in endpoint.rate_limit.arrivals)


def steady(deployment, load):
    """One of two endpoints names a limit: callers are served by the other one, and the limit is used."""
    plain, other = deployment.endpoints[:2]
    other.delay_s, other.slots = SLOW_DELAY_S, SLOW_SLOTS
    deployment.store.put("servers/" + other.name, other.entry())
    plain.rate_limit.set(2.2)
    time.sleep(4)
    since = time.monotonic()
    time.sleep(8)
    used = arrivals(plain, since) / (time.monotonic() - since)
    assert used >= 0.5 * 2.2, f"{used:.2f} requests/s of 2.2 used"
    statuses = load.statuses(since)
    assert set(statuses) == {200}, statuses


def all_limited(deployment, _load):
    """All endpoints of a service name limits: the limits are used, and all other requests are refused truthfully."""
    for endpoint, rate in zip(deployment.endpoints, (3, 6)):
        endpoint.rate_limit.set(rate)
    time.sleep(4)
    since = time.monotonic()
    time.sleep(8)
    used = sum(arrivals(endpoint, since) for endpoint in deployment.endpoints[:2]) / (time.monotonic() - since)
    assert used >= 0.5 * 9, f"{used:.2f} requests/s of 9 used"


def below_one_per_window(deployment, _load):
    """The limit is less than one request per entry in 4 s, and less than one of all entries together."""
    deployment.endpoints[0].rate_limit.set(0.2)
    deployment.endpoints[1].rate_limit.set(0)
    time.sleep(12)


def changed_and_withdrawn(deployment, _load):
    """The limit falls, can't be read for a while, and is withdrawn; then the endpoint is used as before."""
    plain = deployment.endpoints[0]
    for rate, seconds in ((20, 5), (1, 8), ("soon", 4), (1, 1)):
        plain.rate_limit.set(rate)
        time.sleep(seconds)
    unreadable = [at for at, rate in plain.rate_limit.history if rate == "soon"][0]
    used = arrivals(plain, unreadable, unreadable + 4)
    assert used <= 1.5 * 4 + 5, f"{used} requests in 4 s while the limit was unreadable"
    plain.rate_limit.set(None)
    other = deployment.endpoints[1]
    since = time.monotonic()

    def is_used_again():
        now = time.monotonic()
        return now - since > 2 and arrivals(plain, now - 2) > 0.3 * arrivals(other, now - 2)
    wait_until(is_used_again, "the endpoint to be used again without a limit")


def entries_come_and_go(deployment, _load):
    """Entries join, leave, are killed and restarted, and freeze, one after the other, while a limit is in force."""
    plain = deployment.endpoints[0]
    plain.rate_limit.set(3)
    time.sleep(3)
    first, second, third = deployment.gateways[:3]
    first.signal(signal.SIGTERM)
    time.sleep(1)
    second.stop()
    time.sleep(1)
    second.start()
    third.signal(signal.SIGSTOP)
    time.sleep(3)
    third.signal(signal.SIGCONT)
    wait_until(lambda entry=first: not entry.alive(), "the entry to stop")
    first.start()
    time.sleep(2)
    for gateway in (first, second):
        gateway.stop()
    time.sleep(0.5)
    for gateway in (first, second):
        gateway.start()
    time.sleep(6)


def without_peers(deployment, _load):
    """Datagrams between entries are lost, because the registered addresses are wrong."""
    store = deployment.store
    with store.lock:
        for key in [key for key in store.items if key.startswith("member/")]:
            store.put(key, "127.0.0.1:9 r", store.items[key]["lease"])
    time.sleep(7)
    deployment.endpoints[0].rate_limit.set(2)
    time.sleep(8)


def store_lapses(deployment, _load):
    """The store is away for longer than registrations last, and comes back without them."""
    store = deployment.store
    deployment.endpoints[0].rate_limit.set(3)
    time.sleep(3)
    store.down = True
    time.sleep(10)
    with store.lock:
        for lease in [item["lease"] for key, item in store.items.items() if key.startswith("member/")]:
            store.end_lease(lease)
    store.down = False
    time.sleep(8)


CASES = [steady, all_limited, below_one_per_window, changed_and_withdrawn, entries_come_and_go, without_peers,
         store_lapses]


def run_case(binaries, case, gateways):
    with Deployment(binaries).start(gateways) as deployment:
        time.sleep(SETTLE_S)
        load = Load(deployment.gateways)
        try:
            time.sleep(1)
            case(deployment, load)
        finally:
            load.stop()
        counts = {endpoint.name: len(endpoint.rate_limit.arrivals) for endpoint in limited(deployment)}
        print(f"{case.__name__}: {dict(load.statuses())}, arrivals {counts}", flush=True)
        check_limits(deployment)
        check_refusals(deployment, load)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--cases", nargs="+", default=[case.__name__ for case in CASES])
    options = parser.parse_args()
    failed = []
    for case in CASES:
        if case.__name__ not in options.cases:
            continue
        try:
            run_case(options.bin, case, options.gateways)
        except AssertionError as error:
            print(f"{case.__name__} failed: {error}", flush=True)
            failed.append(case.__name__)
    print("failed cases:", failed)
    sys.exit(1 if failed else 0)


main()
