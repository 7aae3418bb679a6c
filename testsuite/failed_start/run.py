#!/usr/bin/env python3
"""Guards against processes of a deployment that outlive a case, which happened when the start of a deployment failed.

Uses a program that does nothing in place of the products.
"""

import argparse
import os
import shutil
import sys
import tempfile
from unittest import mock

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
import harness  # noqa: E402
import platform_deployment  # noqa: E402


class StartFailed(AssertionError):
    pass


def make_program(folder, name):
    path = os.path.join(folder, name)
    with open(path, "w") as file:
        file.write("#!/bin/sh\nexec sleep 600\n")
    os.chmod(path, 0o755)


def check_ended(processes, count):
    assert len(processes) == count, processes
    running = [process.pid for process in processes if process.poll() is None]
    for process in processes:
        process.kill()
    assert not running, f"still running: {running}"


def gateways_end(folder):
    """No gateway becomes ready."""
    deployment = platform_deployment.Deployment(folder)
    with mock.patch("platform_deployment.wait_until", side_effect=StartFailed):
        try:
            deployment.start(2)
            raise AssertionError("the start has not failed")
        except StartFailed:
            pass
    check_ended([gateway.process for gateway in deployment.gateways], 2)


def daemons_end(folder):
    """A program that is started again under its name while the first one still runs, then a failure."""
    processes = []
    try:
        with harness.Deployment(folder) as deployment:
            processes = [deployment.start("entry", "wisteriayardd") for _ in range(2)]
            raise StartFailed
    except StartFailed:
        shutil.rmtree(deployment.dir)
    check_ended(processes, 2)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin")
    parser.parse_args()
    failed = False
    with tempfile.TemporaryDirectory() as folder:
        make_program(folder, "wisteriayard-gateway")
        make_program(folder, "wisteriayardd")
        for case in (gateways_end, daemons_end):
            try:
                case(folder)
                print("passed:", case.__name__)
            except AssertionError as error:
                failed = True
                print("failed:", case.__name__, error)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
