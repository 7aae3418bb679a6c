#!/usr/bin/env python3
"""Checks that an engine receives orders only from the current planner, even if it ignores the fencing token (G6).

The checks use only the orders recorded by the stand-in engine. Exits 1 if a check fails.
"""

import argparse
import base64
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, call, free_port, wait_until  # noqa: E402

ZONE, REGION = "amman-a", "amman"


def raise_epoch(deployment):
    """Writes the zone's epoch key like a planner that acquires the lease; returns the epoch."""
    text = {field: base64.b64encode(value.encode()).decode()
            for field, value in (("key", f"epoch/planner/{ZONE}"), ("value", "test"))}
    reply = call(deployment.store, "POST", "/v3/kv/txn", {"success": [{"request_put": text}]})
    return int(reply.json()["header"]["revision"])


def start_agent(deployment, name, engine, orders):
    deployment.settings = {"order-listen": orders}
    deployment.start_agent(name, ZONE, REGION, "scent", "engine", engine)


def order(orders, epoch):
    return call(orders, "POST", "/v1/orders", {"epoch": epoch, "load": "scent"}).status


def run(bin_dir, options):
    with Deployment(bin_dir) as deployment:
        deployment.start_platform()
        engine = deployment.start_fake("engine", "engine", "--model", "scent", *options)
        orders = f"127.0.0.1:{free_port()}"
        first, second = raise_epoch(deployment), raise_epoch(deployment)
        start_agent(deployment, "one", engine, orders)
        wait_until(lambda: deployment.ready("one-agent"), "the agent to be ready")
        assert order(orders, first) == 409, "an epoch lower than the stored one was accepted after a start"
        assert order(orders, second) == 200
        third = raise_epoch(deployment)
        assert order(orders, third) == 200
        assert order(orders, second) == 409, "a lower epoch was accepted"
        for bad in ({}, {"epoch": "9"}, {"epoch": 0}):
            assert call(orders, "POST", "/v1/orders", bad).status == 400, bad

        deployment.stop("one-agent", signal.SIGSTOP)
        start_agent(deployment, "two", engine, orders)
        assert deployment.wait_exit("two-agent") == 1, "a second agent started beside a paused one"
        deployment.processes["one-agent"].kill()
        deployment.wait_exit("one-agent")
        call(deployment.store, "POST", "/fake/faults", {"refuse": True})
        start_agent(deployment, "three", engine, orders)
        wait_until(lambda: deployment.ready("three-agent"), "the agent's successor to be ready")
        assert order(orders, third) == 503, "an order was accepted before the epoch was read"
        call(deployment.store, "POST", "/fake/faults", {})
        assert order(orders, second) == 409, "a lower epoch was accepted after a restart"
        assert order(orders, third) == 200
        epochs = [each["epoch"] for each in call(engine, "GET", "/fake/orders").json()]
        assert epochs == [second, third, third], epochs


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    bin_dir = os.path.abspath(parser.parse_args().bin)
    for options in ([], ["--check-fencing"]):
        run(bin_dir, options)
    print("engine orders: all checks passed")


if __name__ == "__main__":
    main()
