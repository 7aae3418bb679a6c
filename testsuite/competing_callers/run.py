#!/usr/bin/env python3
"""Callers that are refused as overloaded, and retry at another gateway."""

import itertools
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import Deployment, run_cases, wait_until  # noqa: E402

OK, REFUSED = 200, 503
SAMPLE_TOKENS, LONG_TOKENS, REFUSED_TOKENS = 5000, 90000, 40000
# For as long the engines are busy: longer than the time after which the refused caller retries.
BUSY_S = 3
# Without the setting, so many samples are needed until the time per token is that of the stand-ins.
SAMPLES = 30
# Longer than the time for which a gateway uses the last load report of an idle one.
REPORTS_END_S = 2
PATH = "/chat/1"
segments = itertools.count(0x1000)


def prompt(tokens):
    return {"Prompt-Prefix": f"{next(segments):x}:{tokens}"}


def fill_engines(deployment):
    """Lets both gateways measure the engines, and gives each engine a long prompt.

    Returns the threads of the callers.
    """
    engines = [endpoint for endpoint in deployment.endpoints if endpoint.service == "model"]
    for gateway in deployment.gateways:
        wait_until(gateway.knows_entries, "the registrations")
        for _ in range(SAMPLES):
            answer = gateway.call(PATH, headers=prompt(SAMPLE_TOKENS))
            assert answer.status == OK, f"answered with {answer.status}"
    time.sleep(REPORTS_END_S)
    threads = []
    for engine in engines:
        engine.delay_s = BUSY_S
    for count in range(1, len(engines) + 1):
        threads.append(threading.Thread(target=deployment.gateways[0].call, args=(PATH,),
                                        kwargs={"headers": prompt(LONG_TOKENS)}))
        started = sum(sum(engine.runs.values()) for engine in engines)
        threads[-1].start()
        wait_until(lambda: sum(sum(engine.runs.values()) for engine in engines) > started, f"long prompt {count}")
    # For the reports between the gateways.
    time.sleep(0.3)
    return threads


def refuse_and_retry(deployment):
    """Returns the answers to a first-time request and to a retry at the other gateway at the time that was named."""
    threads = fill_engines(deployment)
    first, second = deployment.gateways
    refused_prompt = prompt(REFUSED_TOKENS)
    refused = first.call(PATH, headers=refused_prompt)
    assert refused.status == REFUSED and b"overloaded" in refused.body, (refused.status, refused.body)
    retry_after = float(refused.headers["Retry-After"])
    assert 0 < retry_after < BUSY_S - 1, f"Retry-After {retry_after}"
    # The delay of the long prompts, which have begun, stays the same.
    for endpoint in deployment.endpoints:
        endpoint.delay_s = 0.005
    time.sleep(retry_after)
    control = second.call(PATH, headers=prompt(REFUSED_TOKENS))
    retried = second.call(PATH, headers=refused_prompt)
    for thread in threads:
        thread.join()
    for answer in (refused, control):
        assert deployment.runs(answer.request) == 0, f"{answer.request} was refused and executed"
    return control, retried


def retries_are_served_at_another_gateway(deployment):
    """Guards against a caller that is refused again although it returns at its time."""
    control, retried = refuse_and_retry(deployment)
    assert control.status == REFUSED, f"first-time request answered with {control.status}"
    assert retried.status == OK, f"retry answered with {retried.status}"
    admitted = deployment.gateways[1].events("request_admitted")
    assert any(fields.get("returned_late") for fields in admitted), "no retry was placed late"


def retries_without_the_setting_count_as_first_time_requests(deployment):
    """Guards against rules that apply without the setting."""
    for gateway in deployment.gateways:
        gateway.stop()
        del gateway.settings["contracts"]
        gateway.start()
        wait_until(gateway.ready, f"{gateway.name} to be ready")
    control, retried = refuse_and_retry(deployment)
    assert (control.status, retried.status) == (REFUSED, REFUSED), (control.status, retried.status)


def make_deployment(binaries):
    deployment = Deployment(binaries, arguments=["--late-retry-ratio", "0.2"])
    deployment.further_settings = {"contracts": ["base", "pool"]}
    return deployment


if __name__ == "__main__":
    run_cases([retries_are_served_at_another_gateway, retries_without_the_setting_count_as_first_time_requests],
              make_deployment, 2)
