#!/usr/bin/env python3
"""Checks that a paused holder of a zone's lease sends the platform no orders after its successor has (G6).

The checks use only the orders recorded by the stand-in platform. Exits 1 if a check fails.
"""

import argparse
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, PauseBeforeSend, Stream, call, wait_until  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
ZONE, REGION = "amman-a", "amman"
SETTINGS = {"lease-ms": 4000, "lease-margin-ms": 1000, "planner-interval-ms": 50, "planner-grow-ms": 0,
            "store-timeout-ms": 400}
SLOTS = 2


def start(deployment, platform_options, times=None):
    deployment.start_platform(*platform_options)
    address = deployment.start_fake("engine", "engine", "--model", "scent", "--token-ms", "20")
    deployment.start_agent("engine-0", ZONE, REGION, "scent", "engine", address, slots=SLOTS)
    deployment.settings = SETTINGS | (times or {})
    deployment.pauses = {}
    for name in ("entry-0", "entry-1"):
        with PauseBeforeSend(deployment, name, f"POST /v1/zones/{ZONE}/") as deployment.pauses[name]:
            deployment.start_entry(name, ZONE, REGION)
    # Serves the streams, so that they survive the pause of a planner; it is no planner itself.
    deployment.settings = {"planner": "false"}
    deployment.start_entry("entry-load", ZONE, REGION)
    deployment.wait_ready()
    deployment.ctl("contract", "put", os.path.join(ROOT, "examples", "nadira", "jordan.json"))
    key = deployment.issue_key("jordan")
    entry = deployment.entries["entry-load"]
    return [Stream(entry, key, f"long story {index} length=20000") for index in range(SLOTS)]


def orders(deployment):
    return call(deployment.platform, "GET", "/fake/orders").json()


def arrived(deployment):
    return call(deployment.platform, "GET", "/fake/arrived").json()["arrived"]


def holder(deployment, names):
    found = [name for name in names if deployment.status(name)["planner"]["lease"] == "holding"]
    assert len(found) <= 1, found
    return found[0] if found else None


def check_orders(deployment):
    """Checks that epochs never decrease in the order of arrival."""
    epochs = [order["epoch"] for order in orders(deployment)]
    assert epochs == sorted(epochs), epochs
    assert all(order["target"] == "scent" and order["endpoints"] == 2 for order in orders(deployment))
    return epochs


def wait_orders(deployment, what):
    count = len(orders(deployment))
    wait_until(lambda: len(orders(deployment)) > count, what)


def pause_holder(deployment, names, inside):
    """Pauses the holder until its successor sends an order; returns whether the kernel killed the old holder."""
    wait_until(lambda: holder(deployment, names), "a holder")
    old = holder(deployment, names)
    new = names[1 - names.index(old)]
    if inside:
        # The most critical point: the lease has been checked and the order is about to be sent.
        deployment.pauses[old].stop(deployment.processes[old])
    else:
        deployment.stop(old, signal.SIGSTOP)
    wait_until(lambda: holder(deployment, [new]), "a successor")
    wait_orders(deployment, "an order of the successor")
    deployment.stop(old, signal.SIGCONT)
    killed = deployment.processes[old].poll() == -signal.SIGKILL
    if not killed:
        wait_until(lambda: deployment.status(old)["planner"]["lease"] != "holding",
                   "the old holder to detect the loss of its lease")
    for _ in range(3):
        wait_orders(deployment, "more orders of the successor")
    check_orders(deployment)
    return killed


def paused_holder(bin_dir, inside, fencing):
    with Deployment(bin_dir) as deployment:
        start(deployment, ["--check-fencing"] if fencing else [])
        names = ["entry-0", "entry-1"]
        wait_orders(deployment, "a first order")
        killed = pause_holder(deployment, names, inside)
        assert killed or not inside, "a holder paused right before an order was not killed"
        epochs = check_orders(deployment)
        print(f"holder paused {'right before an order' if inside else 'at any step'}, fencing "
              f"{'checked' if fencing else 'ignored'}: {len(epochs)} orders, epochs {sorted(set(epochs))}, "
              f"{'killed by the kernel' if killed else 'no order after its lease'}")


def slow_and_lost_responses(bin_dir):
    """Lost responses, refusals and slow responses of the platform do not get a holder killed."""
    with Deployment(bin_dir) as deployment:
        # Long lease times, so that no call gets close to its deadline even on a busy machine.
        start(deployment, [], {"lease-ms": 8000, "lease-margin-ms": 2000})
        wait_orders(deployment, "a first order")
        for fault in ({"lose_answers": 3}, {"refuse": True}, {"delay_ms": 200}, {"delay_ms": 5000}):
            call(deployment.platform, "POST", "/fake/faults", fault)
            count = arrived(deployment)
            wait_until(lambda: arrived(deployment) >= count + 3, f"orders under {fault}")
        call(deployment.platform, "POST", "/fake/faults", {})
        wait_orders(deployment, "orders afterwards")
        check_orders(deployment)
        for name in ("entry-0", "entry-1"):
            assert deployment.processes[name].poll() is None, f"{name} exited although it was never paused"
        print("lost answers, refusals and slow answers: orders go on, no holder ended")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    bin_dir = os.path.abspath(parser.parse_args().bin)
    for fencing in (True, False):
        for inside in (True, False):
            paused_holder(bin_dir, inside, fencing)
    slow_and_lost_responses(bin_dir)
    print("orders: all checks passed")


if __name__ == "__main__":
    main()
