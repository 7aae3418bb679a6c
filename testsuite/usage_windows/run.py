#!/usr/bin/env python3
"""Checks that no usage window is reported with different figures, and how much usage a killed entry loses (G7).

The checks use only the reports recorded by the stand-in platform and the text received by callers. Exits 1 if a check
fails.
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
    # The settings apply to entries only, not to the agent.
    deployment.settings = {}
    deployment.start_agent("engine-0", "amman-a", "amman", "scent", "engine", address)
    deployment.settings = SETTINGS
    deployment.pauses = {}
    for index in range(entries):
        start_entry(deployment, f"entry-{index}")
    deployment.wait_ready()
    deployment.ctl("contract", "put", os.path.join(ROOT, "examples", "nadira", "jordan.json"))
    return deployment.issue_key("jordan")


def start_entry(deployment, name):
    """Starts an entry that can be stopped right before it sends a report."""
    with PauseBeforeSend(deployment, name, "POST /v1/usage-reports") as deployment.pauses[name]:
        deployment.start_entry(name, "amman-a", "amman")


def serve(deployment, key, entry, count):
    """Runs complete chats through an entry in sequence; returns the number of output tokens received."""
    for index in range(count):
        stream = Stream(deployment.entries[entry], key, f"question {index} length={TOKENS}").join()
        assert stream.done, stream.error
    return count * TOKENS


def reports(deployment):
    return call(deployment.platform, "GET", "/fake/reports").json()


def checked_total(deployment):
    """Returns the output tokens of all windows, counting repeated reports once.

    Fails if the reports of a window differ or if an earlier lease holder reported after a later one.
    """
    figures, highest = {}, 0
    for report in reports(deployment):
        text = json.dumps([report["lines"], report["late"]], sort_keys=True)
        assert figures.setdefault(report["window"], text) == text, (
            f"window {report['window']} was reported with different figures")
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


def lost_responses(deployment, key, names):
    """Responses of the store and the platform are lost after the write or report has taken effect."""
    tokens = serve(deployment, key, names[0], 3)
    wait_holder(deployment, names)
    for prefix in ("usage/final/", "usage/part/", "usage/sent"):
        lost = lost_write_responses(deployment)
        faults(deployment.store, lose_write_answers=2, lose_key=prefix)
        tokens += serve(deployment, key, names[1], 2)
        wait_until(lambda: lost_write_responses(deployment) >= lost + 2, f"lost answers to writes of {prefix}")
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
    """The store keeps only the final usage records of closed windows, for the retention period."""
    windows = len(reports(deployment))
    keys = call(deployment.store, "GET", "/fake/stats").json()["keys"]
    wait_until(lambda: len(reports(deployment)) >= windows + RETAINED + 2, "more windows")
    more = call(deployment.store, "GET", "/fake/stats").json()["keys"]
    assert more <= keys + RETAINED, (keys, more)
    print(f"{len(reports(deployment)) - windows} more windows: {keys} keys in the store before, {more} afterwards")


def lost_write_responses(deployment):
    return call(deployment.store, "GET", "/fake/stats").json()["lost_answers"]


def repeated_reports(deployment):
    windows = [report["window"] for report in reports(deployment)]
    return len(windows) - len(set(windows))


def store_outage(deployment, key, names, tokens):
    """Usage counted during a store outage of several windows is reported afterwards."""
    faults(deployment.store, refuse=True)
    tokens += serve(deployment, key, names[1], 3)
    wait_until(lambda: holder(deployment, names) is None, "the lease to run out")
    tokens += serve(deployment, key, names[0], 2)
    faults(deployment.store)
    wait_reported(deployment, tokens)
    print(f"store outage longer than a lease: {tokens} tokens reported in all")
    return tokens


def pause_holder(deployment, key, names, tokens, inside):
    """Pauses the holder for longer than its lease; returns the tokens served so far."""
    old = wait_holder(deployment, names)
    if inside:
        # The most critical point: the lease has been checked and the report is about to be sent.
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
    assert killed or not inside, "a holder paused right before a report was not killed"
    if killed:
        # Each pause may end with a killed holder; the next steps need another entry that takes over.
        start_entry(deployment, old)
    else:
        wait_until(lambda: deployment.status(old)["usage"]["lease"] == "free",
                   "the old holder to detect the loss of its lease")
    # After the pause its view is stale, and it refuses requests until it has reached the store again.
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
    """A killed entry loses at most the usage since its last partial usage record."""
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
        tokens = lost_responses(deployment, key, names)
        store_does_not_grow(deployment)
        tokens = store_outage(deployment, key, names, tokens)
        tokens = pause_holder(deployment, key, names, tokens, inside=False)
        tokens = pause_holder(deployment, key, names, tokens, inside=True)
        graceful_shutdown(deployment, key, wait_holder(deployment, names), names, tokens)
    killed_entry(bin_dir)
    print("usage windows: all checks passed")


if __name__ == "__main__":
    main()
