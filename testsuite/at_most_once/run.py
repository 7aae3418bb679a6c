#!/usr/bin/env python3
"""At-most-once calls under faults (G9, G10).

The checks use only the executions recorded by the stand-in services and the responses received by callers. Each step
waits for a state reported by the stand-ins rather than for a fixed time.
"""

import argparse
import http.client
import json
import os
import signal
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, call, wait_until  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
SETTINGS = {"once-partitions": 1, "once-write-interval-ms": 20, "store-timeout-ms": 1000}


class Charge:
    """A client call that runs in its own thread."""

    def __init__(self, case, entry, key, body=None, path="/charges"):
        self.key, self.body = key, body or {"refill": key}
        self.status, self.outcome, self.code, self.answer = None, "unknown", None, None
        case.charges.append(self)
        self._args = (case.deployment.entries[entry], case.account_key, path)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        address, account_key, path = self._args
        headers = {"Idempotency-Key": self.key} if self.key else {}
        try:
            reply = call(address, "POST", "/services/counter" + path, self.body, account_key, headers)
        except (OSError, http.client.HTTPException):
            return  # the entry closed the connection, so the outcome stays unknown
        self.status = reply.status
        if reply.status == 200:
            self.outcome, self.answer = "done", reply.body
        else:
            error = reply.json()["error"]
            self.outcome, self.code = error["outcome"], error["code"]

    def join(self):
        self.thread.join(60)
        assert not self.thread.is_alive(), f"call {self.key} got no response"
        return self

    def result(self):
        self.join()
        return self.status, self.outcome


class Case:
    """A deployment with three entries and a number of counter services. Records all calls."""

    def __init__(self, deployment, agents=2, slots=8):
        self.deployment, self.charges, self.services, self.addresses, self.slots = deployment, [], {}, {}, slots
        deployment.start_platform()
        for index in range(3):
            deployment.start_entry(f"entry-{index}", "amman-a", "amman")
        for index in range(agents):
            name = f"counter-{index}"
            self.services[name] = deployment.start_fake(name, "service", "--service", "counter")
            self.start_agent(name)
        deployment.wait_ready()
        deployment.ctl("contract", "put", os.path.join(ROOT, "examples", "nadira", "jordan.json"))
        self.account_key = deployment.issue_key("jordan")

    def start_agent(self, name):
        self.addresses[name] = self.deployment.start_agent(name, "amman-a", "amman", "counter", "service",
                                                           self.services[name], self.slots, self.addresses.get(name))

    def charge(self, key, entry=0, **fields):
        return Charge(self, f"entry-{entry}", key, **fields)

    def faults(self, name, **faults):
        address = self.deployment.store if name == "store" else self.services[name]
        call(address, "POST", "/fake/faults", faults)

    def stats(self, name):
        return call(self.deployment.store if name == "store" else self.services[name], "GET", "/fake/stats").json()

    def log_writes(self, kind):
        """Number of writes of the at-most-once logs that the store got ("writes") or held ("held").

        The entries write usage records at the same time, which must not be taken for a write of the logs.
        """
        return self.stats("store")[kind + "_by_prefix"].get("once", 0)

    def executions(self, name):
        return call(self.services[name], "GET", "/fake/executions").json()

    def owner(self):
        """Name of the agent that owns the only partition."""
        for name in self.services:
            agent = name + "-agent"
            if (self.deployment.processes[agent].poll() is None
                    and self.deployment.status(agent)["once_partitions"]):
                return name
        return None

    def results_stored(self):
        """Waits until the owner has stored all results, since a response is sent before its result is stored."""
        owner = self.owner()
        wait_until(lambda: self.deployment.status(owner + "-agent")["once_writing"] == 0, "the results to be stored")
        return owner

    def warm_up(self):
        """Sends a call so that an agent claims the partition."""
        assert self.charge("warm-up").result() == (200, "done")
        return self.results_stored()

    def signal_agent(self, name, sig):
        self.deployment.stop(name + "-agent", sig)
        if sig == signal.SIGKILL:
            self.deployment.wait_exit(name + "-agent")

    def retry_until(self, key, expected, entry=1):
        """Retries a call until it has the expected result.

        Earlier attempts may be refused, or answered 502 while an entry still forwards calls to the failed owner.
        """
        last = []

        def repeated():
            last[:] = [self.charge(key, entry).result()]
            assert last[0] in (expected, (502, "unknown")) or last[0][1] == "not_run", last
            return last[0] == expected

        wait_until(repeated, f"{expected} for {key}")

    def check(self):
        ran = {}
        for name in self.services:
            for each in self.executions(name):
                body = json.loads(each["body"])
                ran[body["refill"]] = ran.get(body["refill"], 0) + 1
        for key in {each.body["refill"] for each in self.charges}:
            calls = [each.join() for each in self.charges if each.body["refill"] == key]
            count = ran.get(key, 0)
            assert count <= 1, f"{key} ran {count} times"
            assert count <= sum(1 for each in calls if each.outcome != "not_run"), (
                f"{key}: answered not_run although it was executed")
            answers = {each.answer for each in calls if each.outcome == "done"}
            assert len(answers) <= 1, f"{key}: answers differ: {answers}"
            assert count == 1 or not answers, f"{key}: answered although it was not executed"
        print(f"{len(self.charges)} calls, {sum(ran.values())} executions, none twice", flush=True)
        return ran


def same_key_at_three_entries(case):
    case.warm_up()
    calls = [case.charge(f"k{number}", entry) for number in range(10) for entry in range(3)]
    for each in calls:
        assert each.result() in [(200, "done"), (409, "unknown")], each.result()
    for number in range(10):
        assert case.charge(f"k{number}", 2).result() == (200, "done")
    other = case.charge("k0", body={"refill": "other"})
    assert other.result() == (422, "not_run") and other.code == "idempotency_key_reused"
    assert case.charge("", body={"refill": "no key"}).result() == (200, "done")
    assert len(case.check()) == 12


def service_faults(case):
    owner = case.warm_up()
    case.faults(owner, lose_answers=1)
    assert case.charge("lost").result() == (502, "unknown")
    assert case.charge("lost", 1).result() == (409, "unknown")
    case.faults(owner, hold_before=True)
    held = case.charge("held")
    wait_until(lambda: case.stats(owner)["held"] == 1, "the held call")
    repeat = case.charge("held", 2)
    assert repeat.result() == (409, "unknown") and repeat.code == "call_running"
    case.faults(owner)
    assert held.result() == (200, "done")
    assert case.charge("held", 1).result() == (200, "done")
    assert case.check() == {"warm-up": 1, "lost": 1, "held": 1}


def store_faults(case):
    case.faults("store", refuse=True)
    assert case.charge("unclaimed").result() == (503, "not_run")
    case.faults("store")
    case.warm_up()
    for fault in ({"refuse": True}, {"hang": True}):
        name = next(iter(fault))
        case.faults("store", **fault)
        first = case.charge("a-" + name)
        # If the store hangs, the write of the intent is indeterminate; if it refuses, the write had no effect.
        assert first.result() == (503, "not_run" if name == "refuse" else "unknown"), (name, first.result())
        assert case.charge("b-" + name, 1).result() == (503, "not_run")
        assert case.charge("warm-up", 2).result() == (200, "done")
        case.faults("store")
        # The outcome is known once the hanging store call ends; until then the call with this key counts as running.
        wait_until(lambda: case.charge("a-" + name, 1).result() == (200, "done"), "the agent to reach the store again")
        assert case.charge("b-" + name).result() == (200, "done")
    case.results_stored()
    case.faults("store", lose_write_answers=1)
    assert case.charge("one-lost").result() == (200, "done")
    case.results_stored()
    # The answers to the write of the intent and to its repetition are both lost.
    case.faults("store", lose_write_answers=2)
    assert case.charge("two-lost").result() == (503, "unknown")
    wait_until(lambda: case.charge("two-lost", 1).result() == (200, "done"), "the intent to be cancelled")
    case.check()


def killed_before_intent(case):
    owner = case.warm_up()
    case.faults("store", hold_writes=True)
    first = case.charge("k")
    wait_until(lambda: case.log_writes("held") >= 1, "the held intent")
    case.signal_agent(owner, signal.SIGKILL)
    assert first.result() == (502, "unknown")
    case.faults("store")
    # The intent took effect after its writer was killed, so no agent may execute the call.
    case.retry_until("k", (409, "unknown"))
    case.retry_until("other", (200, "done"))
    assert case.check() == {"warm-up": 1, "other": 1}


def killed_between_intent_and_call(case):
    owner = case.warm_up()
    case.faults(owner, hold_before=True)
    running = case.charge("running")
    wait_until(lambda: case.stats(owner)["held"] == 1, "the first call at the service")
    writes = case.log_writes("writes")
    waiting = case.charge("waiting", 1)
    wait_until(lambda: case.log_writes("writes") > writes, "the second intent")
    case.signal_agent(owner, signal.SIGKILL)
    assert running.result() == (502, "unknown") and waiting.result() == (502, "unknown")
    case.retry_until("waiting", (409, "unknown"), 2)
    case.retry_until("running", (409, "unknown"), 2)
    case.faults(owner)
    case.retry_until("after", (200, "done"))
    ran = case.check()
    assert "waiting" not in ran


def killed_before_result(case):
    owner = case.warm_up()
    case.faults(owner, hold_after=True)
    first = case.charge("k")
    wait_until(lambda: len(case.executions(owner)) == 2, "the execution")
    case.signal_agent(owner, signal.SIGKILL)
    assert first.result() == (502, "unknown")
    case.retry_until("k", (409, "unknown"))
    # The agent restarts at the same address. The partition may stay with its new owner or return, but has one owner.
    case.faults(owner)
    case.start_agent(owner)
    case.retry_until("after", (200, "done"), 2)
    assert case.charge("k", 2).result() == (409, "unknown")
    assert case.check()["k"] == 1


def stopped_past_takeover(case, stop_in_doubt=False):
    """An agent is stopped during a write until its partition is taken over.

    With `stop_in_doubt`, it is stopped after the time limit of the write has ended.
    """
    owner = case.warm_up()
    agent = owner + "-agent"

    def executed(key):
        return sum(json.loads(each["body"])["refill"] == key for each in case.executions(owner))

    # When the agent is stopped, one call is executing and another waits for the write of its intent.
    case.faults(owner, hold_after=True)
    at_service = case.charge("at-service")
    wait_until(lambda: len(case.executions(owner)) == 2, "the execution")

    def in_doubt():
        return '"once_write_in_doubt"' in case.deployment.output(agent)

    case.faults("store", hold_writes=True)
    before = case.log_writes("held")
    unwritten = case.charge("unwritten", 1)
    wait_until(lambda: case.log_writes("held") > before, "the held intent")
    if stop_in_doubt:
        wait_until(in_doubt, "the time limit of the write to end")
        assert unwritten.result() == (503, "unknown")
    case.signal_agent(owner, signal.SIGSTOP)
    assert at_service.result() == (502, "unknown")
    # If the write timed out before the agent was stopped, the agent itself may have answered.
    answers = [(502, "unknown")] + ([(503, "unknown")] if in_doubt() else [])
    assert unwritten.result() in answers, (unwritten.result(), answers)
    writes = case.log_writes("writes")
    case.faults("store")
    # The intent is stored before the successor reads the log.
    wait_until(lambda: case.log_writes("writes") > writes, "the held intent to take effect")
    case.retry_until("at-service", (409, "unknown"), 2)
    case.retry_until("unwritten", (409, "unknown"), 2)
    case.retry_until("new", (200, "done"), 2)
    successor = next(name for name in case.services if name != owner)
    wait_until(lambda: case.deployment.status(successor + "-agent")["once_writing"] == 0, "the new result to be stored")
    case.signal_agent(owner, signal.SIGCONT)
    case.faults(owner)
    # The resumed agent either receives the response to its write of the intent and executes the call once, or the time
    # limit of the write has ended and it gives the call up. It must do one of the two, and not both.
    wait_until(lambda: in_doubt() or executed("unwritten"), "the resumed call to be executed or given up")
    given_up = in_doubt() and not executed("unwritten")
    assert given_up or not stop_in_doubt, "a call was executed after its caller had got the answer that it is in doubt"
    # Its next write fails the revision comparison, by which the agent detects the new owner. Late results have no
    # effect.
    wait_until(lambda: case.deployment.status(agent)["once_partitions"] == 0, "the resumed agent to lose ownership")
    assert case.charge("unwritten", 0).result() == (409, "unknown")
    assert case.charge("at-service", 0).result() == (409, "unknown")
    assert case.charge("new", 0).result() == (200, "done")
    # The resumed agent must not have overwritten its successor's log, which it loads when it claims the partition
    # again.
    case.signal_agent(successor, signal.SIGKILL)
    case.retry_until("new", (200, "done"), 2)
    case.retry_until("at-service", (409, "unknown"), 0)
    expected = {"warm-up": 1, "at-service": 1, "new": 1, **({} if given_up else {"unwritten": 1})}
    ran = case.check()
    assert ran == expected, (ran, expected)
    print("the resumed agent " + ("gave the call up" if given_up else "executed the call"), flush=True)


def stopped_in_doubt(case):
    stopped_past_takeover(case, stop_in_doubt=True)


def entry_killed(case):
    owner = case.warm_up()
    case.faults(owner, hold_before=True)
    first = case.charge("k", 0)
    wait_until(lambda: case.stats(owner)["held"] == 1, "the call at the service")
    case.deployment.processes["entry-0"].kill()
    assert first.result() == (None, "unknown")
    assert case.charge("k", 1).result() == (409, "unknown")
    case.faults(owner)
    wait_until(lambda: case.charge("k", 2).result() == (200, "done"), "the recorded answer")
    assert case.check() == {"warm-up": 1, "k": 1}


def planned_replacement(case):
    """The owner hands its partition over on shutdown, so no call gets an unknown outcome."""
    owner = case.warm_up()
    case.faults(owner, hold_before=True)
    running = case.charge("running")
    wait_until(lambda: case.stats(owner)["held"] == 1, "the call at the service")
    case.signal_agent(owner, signal.SIGTERM)
    wait_until(lambda: not case.deployment.status(owner + "-agent")["ready"], "the agent to start draining")
    refused = case.charge("during", 1)
    assert refused.result() == (503, "not_run"), refused.result()
    case.faults(owner)
    assert running.result() == (200, "done")
    assert case.deployment.wait_exit(owner + "-agent") == 0
    case.retry_until("during", (200, "done"))
    assert case.charge("running", 2).result() == (200, "done")
    assert case.check() == {"warm-up": 1, "running": 1, "during": 1}


CASES = [(same_key_at_three_entries, {}), (service_faults, {}), (store_faults, {}), (killed_before_intent, {}),
         (killed_between_intent_and_call, {"slots": 1}), (killed_before_result, {}), (stopped_past_takeover, {}),
         (stopped_in_doubt, {}), (entry_killed, {}), (planned_replacement, {})]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("names", nargs="*", help="only these cases")
    options = parser.parse_args()
    for function, fields in CASES:
        if options.names and function.__name__ not in options.names:
            continue
        print(f"== {function.__name__}", flush=True)
        with Deployment(os.path.abspath(options.bin), SETTINGS) as deployment:
            function(Case(deployment, **fields))
    print("at_most_once: all cases passed")


if __name__ == "__main__":
    main()
