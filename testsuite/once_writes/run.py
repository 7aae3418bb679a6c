#!/usr/bin/env python3
"""Checks that at-most-once calls cause at most one store write per partition and write interval, at any call rate."""

import argparse
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, call  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
PARTITIONS, INTERVAL_S, SECONDS, CALLERS = 4, 0.1, 3, 40


def once_writes(deployment):
    """Number of writes of the at-most-once log, without those of leases and usage records."""
    return call(deployment.store, "GET", "/fake/stats").json()["writes_by_prefix"].get("once", 0)


def run_at(deployment, key, rate, prefix=""):
    """Sends calls at a given rate; returns the number of calls, the number of store writes and the duration."""
    entries = list(deployment.entries.values())
    statuses = []
    began, before = time.monotonic(), once_writes(deployment)

    def caller(number):
        total = rate * SECONDS // CALLERS
        for index in range(total):
            due = began + (index * CALLERS + number) / rate
            time.sleep(max(0, due - time.monotonic()))
            name = f"{prefix}{rate}-{number}-{index}"
            reply = call(entries[number % len(entries)], "POST", "/services/counter/charges", {"refill": name}, key,
                         {"Idempotency-Key": name})
            statuses.append(reply.status)

    threads = [threading.Thread(target=caller, args=(number,)) for number in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(2 * INTERVAL_S)  # for results that are not stored yet
    elapsed = time.monotonic() - began
    writes = once_writes(deployment) - before
    assert writes > 0, "no write of the at-most-once log was counted"
    assert statuses and set(statuses) == {200}, sorted(set(statuses))
    return len(statuses), writes, elapsed


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    settings = {"once-partitions": PARTITIONS, "once-write-interval-ms": int(INTERVAL_S * 1000)}
    with Deployment(os.path.abspath(parser.parse_args().bin), settings) as deployment:
        deployment.start_platform()
        for index in range(3):
            deployment.start_entry(f"entry-{index}", "amman-a", "amman")
            address = deployment.start_fake(f"counter-{index}", "service", "--service", "counter")
            deployment.start_agent(f"counter-{index}", "amman-a", "amman", "counter", "service", address, slots=64)
        deployment.wait_ready()
        deployment.ctl("contract", "put", os.path.join(ROOT, "examples", "nadira", "jordan.json"))
        key = deployment.issue_key("jordan")
        run_at(deployment, key, CALLERS, "first-")  # claims the partitions
        for rate in (40, 80, 160):
            calls, writes, elapsed = run_at(deployment, key, rate)
            bound = PARTITIONS * (elapsed / INTERVAL_S + 1)
            print(f"{calls / elapsed:.0f} calls/s: {calls} calls, {writes} writes, {writes / calls:.2f} writes a call, "
                  f"{writes / elapsed:.1f} writes/s, bound {bound / elapsed:.1f}", flush=True)
            assert writes <= bound, (writes, bound)
    print("once_writes: writes stay within partitions over interval")


if __name__ == "__main__":
    main()
