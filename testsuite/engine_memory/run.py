#!/usr/bin/env python3
"""Engines that crash when the requests that they hold exceed their memory."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import Deployment, run_cases, wait_until  # noqa: E402

TIMEOUT_S = 60
MEMORY = 100000
# Ten requests fill an engine. Their prompts are short, so that they are not refused for lack of time.
PROMPT_TOKENS, OUTPUT_TOKENS = 100, 9900
CALLERS_PER_ENTRY = 40
# Sent one after another when the burst has ended.
ORDINARY_REQUESTS = 10
# Bursts at one entry, each followed by a request at the other one.
BURSTS = 5
REPORT_S = 0.4
# Time between two events of a stream of six.
EVENT_S = 0.15
# Entries know each other, and have reported, after this time.
SETTLING_S = 3


class PressureDeployment(Deployment):
    """Gateways whose settings say that engines enforce their memory."""

    def __init__(self, bin_folder):
        super().__init__(bin_folder)
        self.further_settings = {"contracts": ["base", "pressure"]}
        for endpoint in self.engines():
            endpoint.memory, endpoint.delay_s, endpoint.slots = MEMORY, EVENT_S, 100

    def engines(self):
        return [endpoint for endpoint in self.endpoints if endpoint.service == "model"]


def burst(deployment, gateways=None):
    """Sends more requests than all engines hold, at once and to all entries or to the given ones. Returns the
    answers."""
    answers, lock = [], threading.Lock()

    def call(gateway, number):
        answer = gateway.call("/chat/1", timeout=TIMEOUT_S, headers={
            "Token-Count": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}",
            "Prompt-Prefix": f"{number + 1:x}:{PROMPT_TOKENS}"})
        with lock:
            answers.append(answer)

    threads = [threading.Thread(target=call, args=(gateway, entry * CALLERS_PER_ENTRY + number))
               for entry, gateway in enumerate(gateways or deployment.gateways)
               for number in range(CALLERS_PER_ENTRY)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def engines_survive_more_requests_than_they_hold(deployment):
    """Guards against entries that together place more on an engine than its memory holds, and refusals that are late
    or name no time."""
    wait_until(lambda: all(gateway.knows_entries() for gateway in deployment.gateways), "entries to know each other")
    time.sleep(SETTLING_S)
    answers = burst(deployment)
    crashes = sum(len(endpoint.crashes) for endpoint in deployment.engines())
    most = [endpoint.most_held for endpoint in deployment.engines()]
    statuses = sorted(answer.status or 0 for answer in answers)
    assert crashes == 0, f"{crashes} crashes, held {most}"
    served = statuses.count(200)
    assert served > 0, f"none served, held {most}"
    refused = [answer for answer in answers if answer.status != 200]
    assert refused and all(answer.status == 503 and b"engine_memory" in answer.body for answer in refused), \
        [(answer.status, answer.body) for answer in refused][:3]
    assert all("Retry-After" in answer.headers or "Retry-After-Ms" in answer.headers for answer in refused), \
        refused[0].headers
    # How many of the burst are served depends on how quickly they arrive, these ones do not.
    for number in range(ORDINARY_REQUESTS):
        send_ordinary(deployment.gateways[number % 2], number)


def send_ordinary(gateway, number):
    answer = gateway.call("/chat/1", timeout=TIMEOUT_S, headers={
        "Token-Count": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}", "Prompt-Prefix": f"{number + 1000:x}:{PROMPT_TOKENS}"})
    assert answer.status == 200, (number, answer.status, answer.body)


def entries_without_requests_report_that_engines_are_empty(deployment):
    """Guards against refusals at one entry because another one, which has no requests any more, does not report that
    the memory of its last requests is free."""
    wait_until(lambda: all(gateway.knows_entries() for gateway in deployment.gateways), "entries to know each other")
    time.sleep(SETTLING_S)
    busy, other = deployment.gateways
    for number in range(BURSTS):
        answers = burst(deployment, [busy])
        assert any(answer.status == 200 for answer in answers), answers[0].status
        # Longer than a report takes, and shorter than the interval of reports by an idle entry.
        time.sleep(REPORT_S)
        send_ordinary(other, number)
    crashes = sum(len(endpoint.crashes) for endpoint in deployment.engines())
    assert crashes == 0, f"{crashes} crashes"


if __name__ == "__main__":
    run_cases([engines_survive_more_requests_than_they_hold, entries_without_requests_report_that_engines_are_empty],
              PressureDeployment, 2)
