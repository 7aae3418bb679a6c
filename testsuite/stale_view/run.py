#!/usr/bin/env python3
"""Behaviour of entries that lose contact with the store: one entry alone, one with its peers, or all of them."""

import argparse
import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, Stream, call, free_port, wait_until  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
BOUND_S = 5  # view age at which an entry starts to refuse requests (G5)
SCHEDULING_S = 2  # tolerance for scheduling delays on a busy machine


class PartitionProxy:
    """A TCP proxy that simulates a network partition: once cut, connections stay open but forward nothing."""

    def __init__(self, target):
        self.target, self.cut = target, False
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.listener = socket.create_server(("127.0.0.1", self.port))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            client, _ = self.listener.accept()
            host, port = self.target.rsplit(":", 1)
            server = socket.create_connection((host, int(port)))
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._copy, args=(source, sink), daemon=True).start()

    def _copy(self, source, sink):
        try:
            while data := source.recv(65536):
                while self.cut:
                    time.sleep(0.05)
                sink.sendall(data)
            while self.cut:
                time.sleep(0.05)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            sink.close()


def chat(address, key):
    body = {"model": "scent", "messages": [{"role": "user", "content": "length=2"}]}
    return call(address, "POST", "/v1/chat/completions", body, key, timeout=30)


def code(reply):
    return "ok" if reply.status == 200 else reply.json()["error"]["code"]


def start(deployment):
    deployment.start_platform()
    real_store = deployment.store
    for name in ("near-1", "near-2"):
        deployment.start_entry(name, "amman-a", "amman")
    store_proxy = PartitionProxy(real_store)
    deployment.store = store_proxy.address
    deployment.start_entry("far", "dubai-a", "dubai")
    deployment.store = real_store
    peer_proxies = [PartitionProxy(deployment.admins[name]) for name in ("near-1", "near-2")]
    engine = deployment.start_fake("engine", "engine", "--model", "scent", "--token-ms", "4")
    deployment.start_agent("engine-1", "amman-a", "amman", "scent", "engine", engine, slots=64)
    for each, proxy in zip([item for item in deployment.instances if item["role"] == "entry"], peer_proxies):
        each["admin"] = proxy.address
    deployment.wait_ready()
    deployment.ctl("contract", "put", os.path.join(ROOT, "examples", "nadira", "jordan.json"))
    return store_proxy, peer_proxies


def cut_off_entry(deployment, proxies, withdrawn_key, other_key):
    """An entry that alone lost the store ends streams and refuses requests within the bound on key withdrawals."""
    far, near = deployment.entries["far"], deployment.entries["near-1"]
    stale_before = len([e for e in deployment.events("far") if e["name"] == "view_stale"])
    stream = Stream(far, withdrawn_key, "length=100000")
    wait_until(lambda: stream.text, "the first token")
    for proxy in proxies:
        proxy.cut = True
    cut_at = time.monotonic()
    assert code(chat(far, other_key)) == "ok", "an entry with a fresh view refused a request"
    withdrawal = deployment.ctl("--wait-ms", "100", "key", "withdraw", withdrawn_key, check=False)
    assert withdrawal.returncode == 4 and "recorded" in withdrawal.stdout, withdrawal
    assert "in force" not in withdrawal.stdout and deployment.admins["far"] in withdrawal.stdout, withdrawal
    stream.join()
    ended = stream.ended_at - cut_at
    assert stream.error and stream.error["code"] == "view_stale", stream.error
    assert ended <= BOUND_S + SCHEDULING_S, f"the stream ended {ended:.1f} s after the cut"
    reply = chat(far, other_key)
    assert code(reply) == "view_stale" and reply.json()["error"]["outcome"] == "not_run", reply.body
    assert reply.status == 503 and "Retry-After" in reply.headers, reply.headers
    assert not deployment.ready("far") and deployment.ready("near-1")
    assert code(chat(near, other_key)) == "ok", "an entry near the store refused a request"
    stale = [event for event in deployment.events("far") if event["name"] == "view_stale"]
    assert len(stale) == stale_before + 1, stale
    age = stale[-1]["fields"]["view_age_ms"]
    for proxy in proxies:
        proxy.cut = False
    wait_until(lambda: deployment.ready("far"), "the view to be fresh again")
    assert code(chat(far, other_key)) == "ok" and code(chat(far, withdrawn_key)) == "invalid_api_key"
    print(f"cut off from {len(proxies)} servers: view {age} ms old at the refusal, stream ended after {ended:.1f} s")


def outage_for_all(deployment, key):
    """While the store refuses all calls, entries continue to serve and the tool reports withdrawals as failed."""
    call(deployment.store, "POST", "/fake/faults", {"refuse": True})
    stream = Stream(deployment.entries["far"], key, "length=100000")
    for name in deployment.entries:
        wait_until(lambda: "store_down_for_all" in deployment.output(name), f"{name} to detect the outage", 30)
    time.sleep(2)
    for name, address in deployment.entries.items():
        assert code(chat(address, key)) == "ok", name
        assert deployment.ready(name) and deployment.status(name)["view_age_ms"] > BOUND_S * 1000, name
    assert stream.error is None and not stream.done, stream.error
    withdrawal = deployment.ctl("key", "withdraw", key, check=False)
    assert withdrawal.returncode == 3 and "not withdrawn" in withdrawal.stderr, withdrawal
    assert withdrawal.stdout == "", withdrawal.stdout
    call(deployment.store, "POST", "/fake/faults", {})
    for name in deployment.entries:
        wait_until(lambda: deployment.status(name)["view_age_ms"] < BOUND_S * 1000, f"{name} to be fresh again")
        assert not deployment.status(name)["refuses"]
    assert stream.error is None, stream.error
    withdrawal = deployment.ctl("key", "withdraw", key)
    assert "in force at every live entry" in withdrawal.stdout, withdrawal
    stream.join()
    assert stream.error and stream.error["code"] == "invalid_api_key", stream.error
    print("outage for all: all entries continued to serve; the withdrawal failed, and was in force after the outage")


def paused_entry(deployment, withdrawn_key):
    """An entry that was paused while a key was withdrawn does not admit that key after it resumes."""
    address = deployment.entries["near-2"]
    stream = Stream(address, withdrawn_key, "length=100000")
    wait_until(lambda: stream.text, "the first token")
    deployment.stop("near-2", signal.SIGSTOP)
    answers = []
    callers = [threading.Thread(target=lambda: answers.append(code(chat(address, withdrawn_key)))) for _ in range(4)]
    withdrawal = deployment.ctl("--wait-ms", "100", "key", "withdraw", withdrawn_key, check=False)
    assert withdrawal.returncode == 4 and deployment.admins["near-2"] in withdrawal.stdout, withdrawal
    for each in callers:
        each.start()
    time.sleep(BOUND_S + 1)
    deployment.stop("near-2", signal.SIGCONT)
    for each in callers:
        each.join(60)
    stream.join()
    assert len(answers) == 4 and set(answers) <= {"view_stale", "invalid_api_key"}, answers
    assert stream.error and stream.error["code"] in ("view_stale", "invalid_api_key"), stream.error
    assert "in force" in deployment.ctl("key", "withdraw", withdrawn_key).stdout
    print(f"paused entry: 4 requests with the withdrawn key answered with {sorted(set(answers))}")


def new_entry_in_outage(deployment, key):
    """A new entry serves no requests until it has read contracts and keys."""
    call(deployment.store, "POST", "/fake/faults", {"hang": True})
    deployment.start_entry("new", "amman-a", "amman")
    wait_until(lambda: "process_started" in deployment.output("new"), "the new entry to listen")
    assert not deployment.ready("new")
    reply = chat(deployment.entries["new"], key)
    assert reply.status == 503 and code(reply) == "not_ready", reply.body
    assert reply.json()["error"]["outcome"] == "not_run", reply.body
    call(deployment.store, "POST", "/fake/faults", {})
    wait_until(lambda: deployment.ready("new"), "the new entry to be ready")
    print("new entry while the store hangs: not ready, requests refused with not_run")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    with Deployment(os.path.abspath(parser.parse_args().bin)) as deployment:
        store_proxy, peer_proxies = start(deployment)
        keys = [deployment.issue_key("jordan") for _ in range(5)]
        cut_off_entry(deployment, [store_proxy], keys[0], keys[3])
        cut_off_entry(deployment, [store_proxy, *peer_proxies], keys[1], keys[3])
        outage_for_all(deployment, keys[2])
        paused_entry(deployment, keys[4])
        new_entry_in_outage(deployment, keys[3])
    print("stale_view: all steps passed")


if __name__ == "__main__":
    main()
