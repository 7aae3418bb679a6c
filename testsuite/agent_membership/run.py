#!/usr/bin/env python3
"""Agents that shut down, restart, pause or become unresponsive (G8, G11, G12; P6 and P7).

The checks use only the requests recorded by the stand-in engines and the text received by callers.
"""

import argparse
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, Stream, call, expected_words, free_port, wait_until  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
# docs/design.md, P6: an unresponsive connection is replaced, or its endpoint dropped, within 5 s.
SILENCE_BOUND_S = 5


class Case:
    """One entry and two engines; the agent of the first may be behind a proxy."""

    def __init__(self, deployment, proxy=False):
        self.deployment, self.streams, self.engines = deployment, [], {}
        deployment.start_platform()
        deployment.start_entry("entry", "amman-a", "amman")
        for index in range(2):
            name = f"engine-{index}"
            self.engines[name] = deployment.start_fake(name, "engine", "--model", "scent", "--token-ms", "5")
            agent = deployment.start_agent(name, "amman-a", "amman", "scent", "engine", self.engines[name])
            if index == 0:
                self.agent = agent
        if proxy:
            self.proxy_control = f"127.0.0.1:{free_port()}"
            deployment.instances[1]["agent"] = deployment.start_fake("proxy", "proxy", "--to", self.agent, "--control",
                                                                     self.proxy_control)
        deployment.wait_ready()
        deployment.ctl("contract", "put", os.path.join(ROOT, "examples", "nadira", "jordan.json"))
        self.key = deployment.issue_key("jordan")

    def start_streams(self, count, length):
        started = []
        for _ in range(count):
            prompt = f"story {len(self.streams)} length={length}"
            stream = Stream(self.deployment.entries["entry"], self.key, prompt)
            self.streams.append((prompt, length, stream))
            started.append(stream)
        for stream in started:
            wait_until(lambda: stream.text or stream.error, "the first token")
        return started

    def request_count(self, name="engine-0"):
        """Number of requests that an engine has received."""
        return len(call(self.engines[name], "GET", "/fake/captures").json())

    def check(self):
        for prompt, length, stream in self.streams:
            stream.join()
            assert stream.done and stream.text == expected_words(prompt, length), (prompt, stream.error)
        print(f"{len(self.streams)} streams complete", flush=True)

    def wait_until_used(self):
        """Sends requests until the first engine receives one of them."""
        before = self.request_count()

        def received_request():
            self.start_streams(2, 5)
            return self.request_count() > before

        wait_until(received_request, "the first engine to receive requests again")


def drain_under_load(case):
    case.start_streams(8, 300)
    assert case.request_count() > 0
    case.deployment.stop("engine-0-agent")
    wait_until(lambda: not case.deployment.status("engine-0-agent")["ready"], "the agent to start draining")
    requests_before = case.request_count()
    case.start_streams(6, 50)
    assert case.request_count() == requests_before, "a draining agent received new requests"
    assert case.deployment.wait_exit("engine-0-agent") == 0
    case.start_streams(2, 50)
    case.check()
    assert case.request_count() == requests_before, (
        "a stream was interrupted and resumed, or a draining agent received new requests")
    moved = [each for each in case.deployment.events("entry") if each["name"] == "attempt_failed"]
    assert all(each["fields"]["never_ran"] for each in moved), moved


def restart_at_same_address(case):
    case.start_streams(6, 300)
    assert case.request_count() > 0
    case.deployment.processes["engine-0-agent"].kill()
    case.deployment.wait_exit("engine-0-agent")
    case.deployment.start_agent("engine-0", "amman-a", "amman", "scent", "engine", case.engines["engine-0"],
                                agent=case.agent)
    case.check()
    case.wait_until_used()
    case.check()


def stopped_and_resumed(case):
    streams = case.start_streams(6, 400)
    assert case.request_count() > 0
    stopped_at = time.monotonic()
    lengths = [len(each.text) for each in streams]
    case.deployment.stop("engine-0-agent", signal.SIGSTOP)
    wait_until(lambda: all(len(each.text) > length + 100 for each, length in zip(streams, lengths)),
               "all streams to continue")
    print(f"all streams continued {time.monotonic() - stopped_at:.1f} s after the agent was stopped")
    case.deployment.stop("engine-0-agent", signal.SIGCONT)
    case.check()
    case.wait_until_used()
    case.check()


def silent_connection(case):
    case.start_streams(6, 1000)
    assert case.request_count() > 0
    began = time.monotonic()
    accepted = call(case.proxy_control, "POST", "/fake/faults", {"swallow_open": True}).json()["accepted"]
    wait_until(lambda: call(case.proxy_control, "GET", "/fake/stats").json()["accepted"] > accepted, "a new connection")
    replaced = time.monotonic() - began
    print(f"unresponsive connection replaced after {replaced:.1f} s")
    assert replaced <= SILENCE_BOUND_S
    case.check()
    case.wait_until_used()
    case.check()


CASES = [(drain_under_load, {}), (restart_at_same_address, {}), (stopped_and_resumed, {}),
         (silent_connection, {"proxy": True})]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("names", nargs="*", help="only these cases")
    options = parser.parse_args()
    for function, fields in CASES:
        if options.names and function.__name__ not in options.names:
            continue
        print(f"== {function.__name__}", flush=True)
        with Deployment(os.path.abspath(options.bin)) as deployment:
            function(Case(deployment, **fields))
    print("agent_membership: all cases passed")


if __name__ == "__main__":
    main()
