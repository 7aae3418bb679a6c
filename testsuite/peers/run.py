#!/usr/bin/env python3
"""Configuration reaches all entries of a zone through its relays, also while one of them is stopped."""

import argparse
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, call, wait_until  # noqa: E402

def contract(account, **limits):
    return {"account": account, "weight": 1, "limits": limits, "classes": [
        {"name": "stock", "tier": "interactive", "match": {"target": "counter"}, "targets": {"attainment": 0.9},
         "longest_wait_ms": 2000}]}


def put(deployment, document, wait_ms=5000):
    path = os.path.join(deployment.dir, document["account"] + ".json")
    with open(path, "w") as file:
        json.dump(document, file)
    return deployment.ctl("--json", "--wait-ms", str(wait_ms), "contract", "put", path, check=False)


def watches(deployment):
    return call(deployment.store, "GET", "/fake/stats").json()["watches"]


def relays_settle(deployment, count):
    wait_until(lambda: watches(deployment) == count, f"{count} watches, {watches(deployment)} now")


def config_through_relays(deployment):
    relays_settle(deployment, 2)
    ranks = {deployment.status(name)["rank_in_zone"]: name for name in deployment.entries}
    assert sorted(ranks) == [0, 1, 2, 3, 4], ranks
    assert put(deployment, contract("shop")).returncode == 0
    key = deployment.issue_key("shop")
    last = deployment.entries[ranks[4]]
    wait_until(lambda: call(last, "GET", "/services/counter/stock", key=key).status == 200, "the first key")
    deployment.ctl("key", "withdraw", key)
    assert call(last, "GET", "/services/counter/stock", key=key).status == 401
    assert watches(deployment) == 2

    for rank in (0, 1):
        deployment.stop(ranks[rank], signal.SIGSTOP)
        others = [name for name in deployment.entries if name != ranks[rank]]
        before = deployment.status(ranks[4])["view_revision"]
        # The command can't confirm at the stopped entry, so it only writes and does not wait.
        put(deployment, contract("shop", requests_per_s=1000 + rank), wait_ms=0)
        written = time.monotonic()
        wait_until(lambda: all(deployment.status(name)["view_revision"] > before for name in others), "the change")
        took = time.monotonic() - written
        assert took < 5, took  # G13
        key = deployment.issue_key("shop", check=False)
        wait_until(lambda: call(last, "GET", "/services/counter/stock", key=key).status == 200, "the new key")
        deployment.ctl("--wait-ms", "0", "key", "withdraw", key, check=False)
        wait_until(lambda: call(last, "GET", "/services/counter/stock", key=key).status == 401, "the withdrawal", 5)
        # The store still counts the stopped relay's connection beside the other relay and the one in its place.
        wait_until(lambda: watches(deployment) <= 3, "no more than one watch in the place of the stopped relay's")
        fresh = [deployment.status(name)["view_age_ms"] for name in others]
        print(f"relay {rank} stopped: {took * 1000:.0f} ms after the command, {watches(deployment)} watches, "
              f"view ages {fresh} ms")
        deployment.stop(ranks[rank], signal.SIGCONT)
        relays_settle(deployment, 2)
    for name in deployment.entries:
        wait_until(lambda: deployment.status(name)["view_age_ms"] < 4000, f"{name} to be fresh")


def start(deployment, zones):
    deployment.start_platform()
    for name, zone in zones:
        deployment.start_entry(name, zone, "amman")
    for index in range(2):
        address = deployment.start_fake(f"counter-{index}", "service", "--service", "counter")
        deployment.start_agent(f"counter-{index}", "amman-a", "amman", "counter", "service", address, slots=64)
    deployment.wait_ready()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    binaries = os.path.abspath(parser.parse_args().bin)
    with Deployment(binaries) as deployment:
        start(deployment, [(f"entry-{index}", "amman-a") for index in range(5)])
        config_through_relays(deployment)


if __name__ == "__main__":
    main()
