#!/usr/bin/env python3
"""Cooperation between entries: account limits shared by all entries, and configuration through a zone's relays."""

import argparse
import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, call, wait_until  # noqa: E402

RATE = 20
LIMITED_S = 8
# Bounds of docs/decisions/limits-over-entries.md: 4 s of the rate. A change of the budget owner adds its period, twice
# the time in which entries may have different instance lists (the poll of 0.5 s and its call), 0.3 s, and the first
# second of the new owner.
STEADY_EXCESS_S = 4
LIST_SPREAD_S = 1
OWNER_CHANGE_EXCESS_S = 2 + 2 * LIST_SPREAD_S + 0.3 + 1


def contract(account, **limits):
    return {"account": account, "weight": 1, "limits": limits, "classes": [
        {"name": "stock", "tier": "interactive", "match": {"target": "counter"}, "targets": {"attainment": 0.9},
         "longest_wait_ms": 2000}]}


def put(deployment, document, wait_ms=5000):
    path = os.path.join(deployment.dir, document["account"] + ".json")
    with open(path, "w") as file:
        json.dump(document, file)
    return deployment.ctl("--json", "--wait-ms", str(wait_ms), "contract", "put", path, check=False)


class Load:
    """Sends requests to the entries in turn, at a rate above the limit."""

    def __init__(self, entries, key, threads=8):
        self.entries, self.key = list(entries), key
        self.admitted, self.refused = [], []
        self.stopped = False
        self.threads = [threading.Thread(target=self._run, args=(i,), daemon=True) for i in range(threads)]
        for thread in self.threads:
            thread.start()

    def _run(self, turn):
        while not self.stopped:
            turn += 1
            began = time.monotonic()
            try:
                reply = call(self.entries[turn % len(self.entries)], "GET", "/services/counter/stock", key=self.key)
            except OSError:
                continue  # the entry was killed
            now = time.monotonic()
            if reply.status == 200:
                self.admitted.append(now)
            else:
                self.refused.append((now - began, reply))
            time.sleep(0.02)

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()

    def excess(self):
        """Maximum number of admitted requests in excess of the rate, over all intervals."""
        level, last, most = 0, None, 0
        for at in sorted(self.admitted):
            level = max(0, level - RATE * (at - last)) + 1 if last is not None else 1
            last, most = at, max(most, level)
        return most


def check_refusals(load):
    assert load.refused, "the demand was not above the limit"
    for _, reply in load.refused:
        error = reply.json()["error"]
        assert reply.status == 429 and error["outcome"] == "not_run", (reply.status, reply.body)
        assert int(reply.headers["Retry-After"]) >= 1, reply.headers


def limit_over_entries(deployment):
    assert put(deployment, contract("shop", requests_per_s=RATE)).returncode == 0
    key = deployment.issue_key("shop")
    load = Load(deployment.entries.values(), key)
    began = time.monotonic()
    time.sleep(LIMITED_S)
    load.stop()
    took = time.monotonic() - began
    check_refusals(load)
    excess, count = load.excess(), len(load.admitted)
    print(f"3 entries: {count} admitted in {took:.1f} s, {len(load.refused)} refused, excess {excess:.0f}")
    assert excess <= STEADY_EXCESS_S * RATE, excess
    assert count >= 0.5 * RATE * took, "the limit is not fully used"

    owned_accounts = {name: deployment.status(name)["homed_accounts"] for name in deployment.entries}
    owners = [name for name, accounts in owned_accounts.items() if accounts]
    assert len(owners) == 1, owned_accounts
    load = Load(deployment.entries.values(), key)
    time.sleep(2)
    deployment.processes[owners[0]].kill()
    time.sleep(2)
    deployment.instances = [each for each in deployment.instances if each["instance"] != owners[0]]
    deployment.publish_instances()
    time.sleep(LIMITED_S)
    load.stop()
    check_refusals(load)
    late = [at for at in load.admitted if at > time.monotonic() - 4]
    excess = load.excess()
    print(f"budget owner killed: {len(load.admitted)} admitted in 12 s, {len(late)} in the last 4 s, "
          f"excess {excess:.0f}")
    assert excess <= (STEADY_EXCESS_S + OWNER_CHANGE_EXCESS_S) * RATE, excess
    assert len(late) >= 0.5 * RATE * 4, "the limit is not fully used after the budget owner was lost"


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
        # The stopped entry can't confirm the change, so the command does not wait for confirmation.
        put(deployment, contract("shop", requests_per_s=1000 + rank), wait_ms=0)
        written = time.monotonic()
        wait_until(lambda: all(deployment.status(name)["view_revision"] > before for name in others), "the change")
        took = time.monotonic() - written
        assert took < 5, took  # G13
        key = deployment.issue_key("shop", check=False)
        wait_until(lambda: call(last, "GET", "/services/counter/stock", key=key).status == 200, "the new key")
        deployment.ctl("--wait-ms", "0", "key", "withdraw", key, check=False)
        wait_until(lambda: call(last, "GET", "/services/counter/stock", key=key).status == 401, "the withdrawal", 5)
        # The store still counts the connection of the stopped relay, beside the other relay and the replacement.
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
        start(deployment, [("entry-a", "amman-a"), ("entry-b", "amman-a"), ("entry-c", "amman-b")])
        limit_over_entries(deployment)
    with Deployment(binaries) as deployment:
        start(deployment, [(f"entry-{index}", "amman-a") for index in range(5)])
        config_through_relays(deployment)


if __name__ == "__main__":
    main()
