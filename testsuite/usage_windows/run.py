#!/usr/bin/env python3
"""Checks that no usage window is reported twice with different figures, and what is lost when an entry dies (G7).

The checker reads only what the stand-in platform recorded and what callers got. Exits 1 if a check fails.
"""

import argparse
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, PauseBeforeSend, Stream, call, wait_until  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
RETAINED = 3
SETTINGS = {"lease-ms": 4000, "lease-margin-ms": 1000, "usage-window-ms": 1000, "usage-part-ms": 50,
            "usage-grace-ms": 300, "usage-retained-windows": RETAINED, "store-timeout-ms": 400}
TOKENS = 20


def start(deployment, entries):
    deployment.settings = SETTINGS
    deployment.start_platform()
    address = deployment.start_fake("engine", "engine", "--model", "scent", "--token-ms", "1", "--prefill-ms", "1")
    # The agent has none of the entries' settings.
    deployment.settings = {}
    deployment.start_agent("engine-0", "amman-a", "amman", "scent", "engine", address)
    deployment.settings = SETTINGS
    deployment.pauses = {}
    for name in (f"entry-{index}" for index in range(entries)):
        with PauseBeforeSend(deployment, name, "POST /v1/usage-reports") as deployment.pauses[name]:
            deployment.start_entry(name, "amman-a", "amman")
    deployment.wait_ready()
    deployment.ctl("contract", "put", os.path.join(ROOT, "examples", "nadira", "jordan.json"))
    return deployment.issue_key("jordan")


def serve(deployment, key, entry, count):
    """Runs whole chats through one entry, one after the other; returns the output tokens that callers got."""
    for index in range(count):
        stream = Stream(deployment.entries[entry], key, f"question {index} length={TOKENS}").join()
        assert stream.done, stream.error
    return count * TOKENS


def reports(deployment):
    return call(deployment.platform, "GET", "/fake/reports").json()


def checked_total(deployment):
    """Output tokens over all windows, each counted once. Fails on two figures for a window or on a stale sender."""
    figures, highest = {}, 0
    for report in reports(deployment):
        text = json.dumps([report["lines"], report["late"]], sort_keys=True)
        assert figures.setdefault(report["window"], text) == text, f"window {report['window']} has two figures"
        assert report["epoch"] >= highest, f"epoch {report['epoch']} reported after {highest}"
        highest = report["epoch"]
    total = 0
    for text in figures.values():
        lines, late = json.loads(text)
        total += sum(line["output_tokens"] for each in [{"lines": lines}, *late] for line in each["lines"])
    return total


def holder(deployment, names):
    found = [name for name in names if deployment.status(name)["usage"]["lease"] == "holding"]
    assert len(found) <= 1, found
    return found[0] if found else None


def wait_holder(deployment, names):
    wait_until(lambda: holder(deployment, names), "a holder of lease/usage")
    return holder(deployment, names)


def faults(address, **fields):
    call(address, "POST", "/fake/faults", fields)


def wait_reported(deployment, tokens):
    wait_until(lambda: checked_total(deployment) >= tokens, f"{tokens} tokens to be reported")
    assert checked_total(deployment) == tokens, (checked_total(deployment), tokens)


def lost_answers(deployment, key, names):
    """Answers of the store and of the platform are lost after the write or report took effect."""
    tokens = serve(deployment, key, names[0], 3)
    wait_holder(deployment, names)
    for prefix in ("usage/final/", "usage/part/", "usage/sent"):
        lost = lost_writes(deployment)
        faults(deployment.store, lose_write_answers=2, lose_key=prefix)
        tokens += serve(deployment, key, names[1], 2)
        wait_until(lambda: lost_writes(deployment) >= lost + 2, f"lost answers to writes of {prefix}")
    faults(deployment.store)
    repeated = repeated_reports(deployment)
    faults(deployment.platform, lose_answers=2)
    tokens += serve(deployment, key, names[0], 2)
    wait_until(lambda: repeated_reports(deployment) >= repeated + 2, "repeated reports")
    wait_reported(deployment, tokens)
    print(f"lost answers: {tokens} tokens in {len(reports(deployment))} reports, "
          f"{repeated_reports(deployment)} of them repeated with the same figures")
    return tokens


def store_does_not_grow(deployment):
    """Closed windows leave their final records until the retention ends, and nothing else."""
    windows = len(reports(deployment))
    keys = call(deployment.store, "GET", "/fake/stats").json()["keys"]
    wait_until(lambda: len(reports(deployment)) >= windows + RETAINED + 2, "more windows")
    more = call(deployment.store, "GET", "/fake/stats").json()["keys"]
    assert more <= keys + RETAINED, (keys, more)
    print(f"{len(reports(deployment)) - windows} more windows: {keys} keys in the store before, {more} afterwards")


def lost_writes(deployment):
    return call(deployment.store, "GET", "/fake/stats").json()["lost_answers"]


def repeated_reports(deployment):
    windows = [report["window"] for report in reports(deployment)]
    return len(windows) - len(set(windows))


def store_outage(deployment, key, names, tokens):
    """The store refuses for some windows; usage is kept and reported afterwards."""
    faults(deployment.store, refuse=True)
    tokens += serve(deployment, key, names[1], 3)
    wait_until(lambda: holder(deployment, names) is None, "the lease to run out")
    tokens += serve(deployment, key, names[0], 2)
    faults(deployment.store)
    wait_reported(deployment, tokens)
    print(f"store outage longer than a lease: {tokens} tokens reported in all")
    return tokens


def pause_holder(deployment, key, names, tokens, inside):
    """Pauses the holder for longer than its lease; returns whether the kernel killed it."""
    old = wait_holder(deployment, names)
    if inside:
        # The worst step: the lease was checked, and the report is the next thing that leaves.
        deployment.pauses[old].stop(deployment.processes[old])
    else:
        deployment.stop(old, signal.SIGSTOP)
    others = [name for name in names if name != old]
    tokens += serve(deployment, key, others[0], 2)
    new = wait_holder(deployment, others)
    count = len(reports(deployment))
    wait_until(lambda: len(reports(deployment)) > count, "a report of the new holder")
    deployment.stop(old, signal.SIGCONT)
    killed = deployment.processes[old].poll() == -signal.SIGKILL
    assert killed or not inside, "paused right before a report, and lived"
    if not killed:
        wait_until(lambda: deployment.status(old)["usage"]["lease"] == "free", "the old holder to notice")
        # After the pause its view is stale, and it refuses until it has heard of the store again.
        wait_until(lambda: deployment.ready(old), "the old holder to be ready")
    wait_reported(deployment, tokens)
    print(f"holder {old} paused {'right before a report' if inside else 'at any step'}: {new} took over, "
          f"{'the kernel killed' if killed else 'no report came from'} the old holder")
    return tokens


def graceful_shutdown(deployment, key, name, names, tokens):
    tokens += serve(deployment, key, name, 3)
    deployment.stop(name)
    assert deployment.wait_exit(name) == 0
    wait_holder(deployment, [each for each in names if each != name])
    wait_reported(deployment, tokens)
    print(f"graceful shutdown of {name}: nothing lost, {tokens} tokens reported")


def killed_entry(bin_dir):
    """An entry is killed: at most what it served since its last part is missing."""
    with Deployment(bin_dir) as deployment:
        key = start(deployment, 2)
        names = list(deployment.entries)
        wait_holder(deployment, names)
        early = serve(deployment, key, "entry-0", 5)
        wait_reported(deployment, early)
        late = serve(deployment, key, "entry-0", 2)
        deployment.processes["entry-0"].kill()
        deployment.wait_exit("entry-0")
        after = serve(deployment, key, "entry-1", 1)
        wait_holder(deployment, ["entry-1"])
        wait_until(lambda: checked_total(deployment) >= early + after, "usage of the killed entry")
        closed = max(report["window"] for report in reports(deployment))
        wait_until(lambda: max(report["window"] for report in reports(deployment)) >= closed + 2, "two more windows")
        total = checked_total(deployment)
        assert early + after <= total <= early + late + after, (early, late, after, total)
        print(f"killed entry: {early + late + after - total} tokens of its last {late} lost")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    bin_dir = os.path.abspath(parser.parse_args().bin)
    with Deployment(bin_dir) as deployment:
        key = start(deployment, 3)
        names = list(deployment.entries)
        tokens = lost_answers(deployment, key, names)
        store_does_not_grow(deployment)
        tokens = store_outage(deployment, key, names, tokens)
        tokens = pause_holder(deployment, key, names, tokens, inside=False)
        alive = [name for name in names if deployment.processes[name].poll() is None]
        tokens = pause_holder(deployment, key, alive, tokens, inside=True)
        alive = [name for name in names if deployment.processes[name].poll() is None]
        graceful_shutdown(deployment, key, wait_holder(deployment, alive), alive, tokens)
    killed_entry(bin_dir)
    print("usage windows: all checks passed")


if __name__ == "__main__":
    main()
