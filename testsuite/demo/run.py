#!/usr/bin/env python3
"""Runs a small deployment modelled on the first user's and demonstrates the main features; exits 1 if a step fails."""

import argparse
import json
import os
import statistics
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, Stream, call, expected_words, wait_until  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
ZONES = [("amman-a", "amman"), ("amman-b", "amman"), ("dubai-a", "dubai")]
ENGINES_PER_ZONE = 2


def step(text):
    print(f"== {text}", flush=True)


def start(deployment):
    deployment.start_platform()
    for zone, region in ZONES:
        deployment.start_entry(f"entry-{zone}", zone, region)
        for index in range(ENGINES_PER_ZONE):
            name = f"engine-{zone}-{index}"
            address = deployment.start_fake(name, "engine", "--model", "scent", "--token-ms", "4")
            deployment.start_agent(name, zone, region, "scent", "engine", address)
        name = f"counter-{zone}"
        address = deployment.start_fake(name, "service", "--service", "counter")
        deployment.start_agent(name, zone, region, "counter", "service", address)
    deployment.wait_ready()


def load_contracts(deployment):
    folder = os.path.join(ROOT, "examples", "nadira")
    for name in sorted(os.listdir(folder)):
        deployment.ctl("contract", "put", os.path.join(folder, name))
    return {name: deployment.issue_key(name) for name in ("jordan", "olfactia", "cedar")}


def send_traffic(deployment, keys):
    entries = list(deployment.entries.values())
    streams = []
    for index in range(24):
        account = list(keys)[index % len(keys)]
        prompt = f"catalogue of notes, question {index} length=20"
        fields = {"max_tokens": 100} if index % 2 else {}
        streams.append((prompt, Stream(entries[index % 3], keys[account], prompt, **fields)))
    charges = []
    for index in range(6):
        reply = call(entries[index % 3], "POST", "/services/counter/charges", {"refill": index}, keys["jordan"],
                     {"Idempotency-Key": f"refill-{index}"})
        charges.append(reply.status)
    assert charges == [200] * 6, charges
    times = []
    for prompt, stream in streams:
        stream.join()
        assert stream.done and stream.text == expected_words(prompt, 20), (prompt, stream.error, stream.text)
        times.append(stream.first_token_at - stream.sent_at)
    print(f"24 chats and lookups whole, 6 charges made; first token: median {statistics.median(times) * 1000:.0f} ms")


def withdraw_key(deployment, keys):
    entry = list(deployment.entries.values())[0]
    stream = Stream(entry, keys["cedar"], "a long story length=5000")
    wait_until(lambda: stream.text, "the first token")
    began = time.monotonic()
    deployment.ctl("key", "withdraw", keys["cedar"])
    stream.join()
    assert stream.error and stream.error["code"] == "invalid_api_key", stream.error
    print(f"open stream ended {(stream.ended_at - began) * 1000:.0f} ms after the command began")
    for address in deployment.entries.values():
        assert call(address, "GET", "/v1/models", key=keys["cedar"]).status == 401


def change_contract(deployment):
    path = os.path.join(deployment.dir, "olfactia.json")
    with open(os.path.join(ROOT, "examples", "nadira", "olfactia.json")) as file:
        contract = json.load(file)
    contract["weight"] = 3
    with open(path, "w") as file:
        json.dump(contract, file)
    began = time.monotonic()
    print(deployment.ctl("contract", "put", path).stdout.strip())
    print(f"in force at {len(deployment.entries)} entries after {(time.monotonic() - began) * 1000:.0f} ms")


def kill_agent(deployment, keys):
    entry = deployment.entries["entry-dubai-a"]
    prompts = [f"resumed story {index} length=300" for index in range(6)]
    streams = [Stream(entry, keys["jordan"], prompt) for prompt in prompts]
    for stream in streams:
        wait_until(lambda: stream.text, "the first token")
    deployment.processes["engine-dubai-a-0-agent"].kill()
    for prompt, stream in zip(prompts, streams):
        stream.join()
        assert stream.done and stream.text == expected_words(prompt, 300), (stream.error, len(stream.text))
    moved = sum(1 for event in deployment.events("entry-dubai-a") if event["name"] == "attempt_failed")
    assert moved > 0, "no stream ran at the killed agent"
    print(f"agent killed: 6 streams complete, {moved} of them resumed at another endpoint")


def shut_down(deployment, keys):
    streams = [Stream(address, keys["jordan"], "last words length=200") for address in deployment.entries.values()]
    for stream in streams:
        wait_until(lambda: stream.text, "the first token")
    for name in deployment.entries:
        deployment.stop(name)
    for name in deployment.entries:
        assert deployment.wait_exit(name) == 0, name
    for stream in streams:
        stream.join()
        assert stream.done and stream.text == expected_words("last words length=200", 200), stream.error
    print("3 entries shut down, no stream cut")


def check_keys_absent(deployment, keys):
    captured = []
    for name in deployment.processes:
        text = deployment.output(name)
        if name.startswith("engine") and not name.endswith("-agent"):
            address = text.split("listening on ")[1].split()[0]
            captured += call(address, "GET", "/fake/captures").json()
            text += json.dumps(captured)
        for key in keys.values():
            assert key not in text, f"a key is in the log or the captures of {name}"
    print(f"no key in {len(deployment.processes)} logs and {len(captured)} captured requests")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    with Deployment(os.path.abspath(parser.parse_args().bin)) as deployment:
        step("start: 3 zones, 3 entries, 6 engines, 3 counter servers")
        start(deployment)
        step("contracts and keys")
        keys = load_contracts(deployment)
        step("traffic")
        send_traffic(deployment, keys)
        print(deployment.ctl("status").stdout.strip())
        step("withdraw a key")
        withdraw_key(deployment, keys)
        step("change a contract")
        change_contract(deployment)
        step("kill an agent")
        kill_agent(deployment, keys)
        step("graceful shutdown")
        shut_down(deployment, keys)
        check_keys_absent(deployment, keys)
    print("demo: all steps passed")


if __name__ == "__main__":
    main()
