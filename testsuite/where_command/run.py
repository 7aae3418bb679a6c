#!/usr/bin/env python3
"""`wisteriayardctl where`: where a running gateway would send a request now, and why."""

import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import METRICS_PORT, Deployment, run_cases, wait_until  # noqa: E402

TIMEOUT_S = 60
# Beyond the end of any run.
PAUSE_S = "600"
QUERIES = 20
OK, REFUSED, USAGE, UNAVAILABLE = 0, 1, 2, 3


def where(deployment, *arguments, entry=None):
    gateway = deployment.gateways[0]
    program = os.path.join(deployment.bin, "wisteriayardctl")
    entry = entry or f"{gateway.ip}:{METRICS_PORT}"
    return subprocess.run([program, "--entry", entry, "where", *arguments], capture_output=True, text=True,
                          timeout=TIMEOUT_S)


def report(deployment, *arguments, status=OK):
    ended = where(deployment, "--json", *arguments)
    assert ended.returncode == status, f"status {ended.returncode}: {ended.stderr}"
    return json.loads(ended.stdout)


def names_the_endpoint_of_the_next_request(deployment):
    """Guards against a report that differs from what the gateway does, and against queries that reach endpoints."""
    for _ in range(QUERIES):
        target = report(deployment, "lookup", "--account", "acme")["targets"][0]
    assert not any(endpoint.runs for endpoint in deployment.endpoints), "a query was sent to an endpoint"
    answer = deployment.gateways[0].call("/lookup/a", timeout=TIMEOUT_S)
    assert answer.status == 200, f"answered with {answer.status}"
    served = [endpoint.name for endpoint in deployment.endpoints if endpoint.runs[answer.request]]
    assert served == [target["endpoint"]], f"served by {served}, expected {target['endpoint']}"
    assert {row["endpoint"] for row in target["candidates"]} == {"p0", "p1"}, target


def prompts_and_ranks_count(deployment):
    """Guards against a report for another request than the one asked about."""
    found = report(deployment, "match", "--account", "acme", "--prompt", "4f00aa:900,51d2:120", "--output-tokens", "10",
                   "--time-left-ms", "1500")
    assert found["time_left_ms"] == 1500, found
    rows = found["targets"][0]["candidates"]
    assert len(rows) == 3 and all(row["uncached_tokens"] == 1020 for row in rows), rows
    assert sum(row["preferred"] for row in rows) == 1, rows
    without = report(deployment, "match")["targets"][0]["candidates"]
    assert all(row["uncached_tokens"] == 0 for row in without), without


def refusals_name_their_reason(deployment):
    """Guards against exclusions that operators can't see."""
    # Before, there is no retry budget, and the second endpoint is not asked.
    wait_until(deployment.gateways[0].knows_entries, "the gateway to know the entries")
    for endpoint in deployment.endpoints:
        endpoint.retry_after = PAUSE_S
    deployment.gateways[0].call("/lookup/a", timeout=TIMEOUT_S)
    target = report(deployment, "lookup", status=REFUSED)["targets"][0]
    assert target["refusal"] == "paused" and target["retry_after_ms"] > 0, target
    assert [row["exclusion"] for row in target["candidates"]] == ["paused", "paused"], target
    table = where(deployment, "lookup")
    assert table.returncode == REFUSED and "excluded: paused" in table.stdout, table.stdout


def exit_codes_are_as_documented(deployment):
    """Guards against scripts that take a failed query for a placement."""
    for arguments, status in [(["lookup"], OK), (["nowhere"], REFUSED), (["lookup", "--account", "nobody"], REFUSED),
                              (["lookup", "--prompt", "4f:x"], USAGE), (["lookup", "--prompt", "zz:1"], REFUSED),
                              ([], USAGE)]:
        ended = where(deployment, *arguments)
        assert ended.returncode == status, f"{arguments}: status {ended.returncode}, {ended.stderr}"
        assert (status == OK) == (not ended.stderr), f"{arguments}: {ended.stderr}"
    gateway = deployment.gateways[0]
    assert where(deployment, "lookup", entry=f"{gateway.ip}:{gateway.ports[2]}").returncode == UNAVAILABLE


if __name__ == "__main__":
    run_cases([names_the_endpoint_of_the_next_request, prompts_and_ranks_count, refusals_name_their_reason,
               exit_codes_are_as_documented], Deployment, 1)
