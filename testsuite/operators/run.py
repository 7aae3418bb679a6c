#!/usr/bin/env python3
"""Tests wisteriayardctl on a running deployment: concurrent writes, lost responses, history, explain and log audits."""

import argparse
import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, Stream, call, expected_words, wait_until  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
MARK = "marked-prompt-text"


def write_contract(deployment, name, **changes):
    with open(os.path.join(ROOT, "examples", "nadira", "jordan.json")) as file:
        contract = json.load(file)
    for each in contract["classes"]:
        if each["name"] == "lookup":
            each["longest_wait_ms"] = 300
    contract.update(changes)
    path = os.path.join(deployment.dir, name)
    with open(path, "w") as file:
        json.dump(contract, file)
    return path


def tool(deployment, *arguments):
    return deployment.ctl("--platform", deployment.platform, *arguments, check=False)


def present_revision(deployment):
    return json.loads(deployment.ctl("--json", "contract", "get", "jordan").stdout)["revision"]


def racing_operators(deployment):
    """Of two concurrent writes on the same revision one takes effect; the other reports the differing fields."""
    for attempt in range(3):
        revision = present_revision(deployment)
        paths = [write_contract(deployment, f"race-{weight}.json", weight=weight) for weight in (3 + attempt, 30 + attempt)]
        command = [os.path.join(deployment.bin, "wisteriayardctl"), "--store", deployment.store, "--platform",
                   deployment.platform, "--json", "contract", "put", "--if-revision", str(revision)]
        tools = [subprocess.Popen([*command, path], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
                 for path in paths]
        answers = [(each.communicate(timeout=60), each.returncode) for each in tools]
        assert sorted(code for _, code in answers) == [0, 1], answers
        (out, text) = next(answer for answer, code in answers if code == 1)
        conflict = json.loads(out)
        assert conflict["account"] == "jordan" and conflict["seen_revision"] == revision, conflict
        assert conflict["present_revision"] == present_revision(deployment) > revision, conflict
        assert [each["field"] for each in conflict["fields"]] == ["weight"], conflict
        assert "jordan" in text and "weight" in text, text


def lost_responses(deployment):
    """A write whose response is lost is reported with its actual outcome and takes effect once."""
    before = json.loads(deployment.ctl("--json", "contract", "history", "jordan").stdout)
    call(deployment.store, "POST", "/fake/faults", {"lose_write_answers": 2})
    put = tool(deployment, "contract", "put", write_contract(deployment, "lost.json", weight=9))
    assert put.returncode == 0 and "in force at every live entry" in put.stdout, (put.stdout, put.stderr)
    after = json.loads(deployment.ctl("--json", "contract", "history", "jordan").stdout)
    assert len(after) == len(before) + 1, (before, after)
    assert [each["field"] for each in after[-1]["changed"]] == ["weight"] and after[-1]["current"], after[-1]
    assert tool(deployment, "contract", "put", os.path.join(deployment.dir, "lost.json")).returncode == 0
    assert len(json.loads(deployment.ctl("--json", "contract", "history", "jordan").stdout)) == len(after)
    call(deployment.store, "POST", "/fake/faults", {"lose_write_answers": -1})
    put = tool(deployment, "contract", "put", write_contract(deployment, "lost.json", weight=10))
    assert put.returncode == 3 and "may have taken effect" in put.stderr, (put.returncode, put.stderr)
    call(deployment.store, "POST", "/fake/faults", {})


def invalid_input(deployment):
    """Invalid input gets a distinct exit status and a message that names the problem."""
    bad = write_contract(deployment, "bad.json", weight=0)
    missing = tool(deployment, "key", "withdraw", "0" * 64)
    cases = [
        (tool(deployment, "contract", "put", bad), 1, "contract.weight: 0 is not allowed"),
        (tool(deployment, "contract", "put"), 2, "expected contract put FILE"),
        (tool(deployment, "contract", "erase", "x"), 2, "no such command"),
        (tool(deployment, "key", "issue", "nobody"), 1, "no contract of account nobody"),
        (missing, 1, "no key with the hash"),
        (tool(deployment, "contract", "diff", "jordan@1", bad), 1, "neither a file nor a contract"),
        (tool(deployment, "audit", "verify", bad, "--last", "x"), 1, "--last"),
        (tool(deployment, "explain", "x"), 2, "--log"),
    ]
    for result, code, text in cases:
        assert result.returncode == code and text in result.stderr, (code, text, result)
    alone = subprocess.run([os.path.join(deployment.bin, "wisteriayardctl"), "--store", deployment.store, "contract",
                            "put", write_contract(deployment, "alone.json", weight=11)], capture_output=True, text=True)
    assert alone.returncode == 4 and "no entry was asked" in alone.stdout, alone


def shell_completion(deployment):
    script = f"""source <({deployment.bin}/wisteriayardctl completion bash)
COMP_WORDS=(wisteriayardctl contract h); COMP_CWORD=2; _wisteriayardctl; echo "${{COMPREPLY[@]}}" """
    result = subprocess.run(["bash", "-c", script], capture_output=True, text=True)
    assert result.stdout.strip() == "history", result


def traffic(deployment, key, withdrawn):
    """Sends requests with every outcome.

    Returns counts of the finished requests by class, ids of the refused ones by error code, and the running streams.
    """
    entry = deployment.entries["entry-1"]
    finished = {"chat": [0, 0], "lookup": [0, 0]}
    for length, fields in ((7, {}), (11, {"max_tokens": 50}), (13, {"max_tokens": 500})):
        stream = Stream(entry, key, f"{MARK} length={length}", **fields).join()
        assert stream.text == expected_words(f"{MARK} length={length}", length), stream.error
        total = finished["lookup" if fields.get("max_tokens") == 50 else "chat"]
        total[0] += 1
        total[1] += length
    long = [Stream(entry, key, f"{MARK} {i} length=100000") for i in range(2)]
    for stream in long:
        wait_until(lambda: stream.text, "the slots to be taken")
    body = {"model": "scent", "max_tokens": 50, "messages": [{"role": "user", "content": MARK}]}
    refused = {}
    for code, used, model in (("wait_exceeded", key, "scent"), ("no_class", key, "other"),
                              ("invalid_api_key", withdrawn, "scent"), ("invalid_api_key", "wy-unknown", "scent")):
        reply = call(entry, "POST", "/v1/chat/completions", {**body, "model": model}, used)
        error = reply.json()["error"]
        assert error["code"] == code and error["outcome"] == "not_run", error
        refused[code] = error["request_id"]
    return finished, refused, long


def audit(deployment, arguments, expected, text):
    result = tool(deployment, "audit", "verify", *arguments)
    assert result.returncode == expected and text in result.stdout, (arguments, result.stdout, result.stderr)
    return result.stdout


def write_json(deployment, name, value):
    path = os.path.join(deployment.dir, name)
    with open(path, "w") as file:
        json.dump(value, file)
    return path


def audit_logs(deployment, finished, position):
    log = os.path.join(deployment.dir, "entry-1.out")
    folder = os.path.join(deployment.dir, "history")
    reports = [{"account": "jordan", "class": name, "requests": sums[0], "output_tokens": sums[1]}
               for name, sums in finished.items()]
    last = f"{position['incarnation']}:{position['sequence']}:{position['hash']}"
    good = [log, "--replay", "--contracts", folder, "--last", last, "--reports",
            write_json(deployment, "reports.json", reports)]
    print(audit(deployment, good, 0, "passed").strip())
    audit(deployment, [os.path.join(deployment.dir, f"{name}.out") for name in ("entry-1", "entry-2", "engine-1-agent")],
          0, "passed")
    audit(deployment, [log, "--replay"], 0, "passed")  # reads the contracts from the history in the store
    sent = {"window": 1, "lines": [reports[0]], "late": [{"window": 0, "lines": [reports[1]]}]}
    audit(deployment, [*good[:-1], write_json(deployment, "sent.json", [sent, sent])], 0, "passed")
    changed = {"window": 1, "lines": reports, "late": []}
    audit(deployment, [*good[:-1], write_json(deployment, "twice.json", [sent, changed])], 1, "different figures")
    reports[0]["output_tokens"] += 1
    audit(deployment, [*good[:-1], write_json(deployment, "wrong.json", reports)], 1, "USAGE jordan chat")
    with open(log) as file:
        lines = file.readlines()
    changed = os.path.join(deployment.dir, "changed.log")
    with open(changed, "w") as file:
        file.writelines(line.replace('"code":"wait_exceeded"', '"code":"queue_full"') for line in lines)
    audit(deployment, [changed], 1, "FAULT edited")
    with open(changed, "w") as file:
        file.writelines(lines[:-3])
    count = len(lines)
    audit(deployment, [changed, "--last", str(count)], 1, "FAULT truncated")
    for name in os.listdir(os.path.join(folder, "jordan")):
        path = os.path.join(folder, "jordan", name)
        with open(path) as file:
            contract = json.load(file)
        contract["classes"] = [each for each in contract["classes"] if each["name"] != "lookup"]
        write_json(deployment, path, contract)
    audit(deployment, [log, "--replay", "--contracts", folder], 1, "DIFFERS")


def explain(deployment, refused):
    logs = ["--log", *(os.path.join(deployment.dir, f"{name}.out") for name in deployment.entries)]
    for code, expected in (("wait_exceeded", "of at most 300 ms as class lookup"), ("no_class", "no class of jordan"),
                           ("invalid_api_key", "was unknown")):
        result = tool(deployment, "explain", refused[code], *logs)
        assert result.returncode == 0 and expected in result.stdout, (code, result)
    assert tool(deployment, "explain", "0" * 24, *logs).returncode == 1


def secrets_absent(deployment, keys):
    answer = expected_words(f"{MARK} length=7", 7).strip()
    for name in deployment.processes:
        text = deployment.output(name)
        for secret in (*keys, MARK, answer):
            assert secret not in text, f"a key, prompt or answer is in the log of {name}"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    with Deployment(os.path.abspath(parser.parse_args().bin)) as deployment:
        deployment.start_platform()
        for name in ("entry-1", "entry-2"):
            deployment.start_entry(name, "amman-a", "amman")
        engine = deployment.start_fake("engine", "engine", "--model", "scent", "--token-ms", "2")
        deployment.start_agent("engine-1", "amman-a", "amman", "scent", "engine", engine, slots=2)
        deployment.wait_ready()
        deployment.ctl("contract", "put", write_contract(deployment, "first.json"))
        racing_operators(deployment)
        lost_responses(deployment)
        invalid_input(deployment)
        shell_completion(deployment)
        key, withdrawn = deployment.issue_key("jordan"), deployment.issue_key("jordan")
        assert tool(deployment, "key", "withdraw", withdrawn).returncode == 0
        assert tool(deployment, "key", "withdraw", withdrawn).returncode == 0  # a repeated withdrawal has no effect
        assert deployment.ctl("key", "list", "--account", "jordan").stdout.count("withdrawn") == 1
        finished, refused, running = traffic(deployment, key, withdrawn)
        deployment.ctl("contract", "history", "jordan", "--export", os.path.join(deployment.dir, "history"))
        deployment.ctl("usage")
        explain(deployment, refused)
        deployment.processes["engine"].kill()
        for stream in running:
            stream.join()
            finished["chat"][0] += 1
            finished["chat"][1] += len(stream.text.split())
        position = deployment.status("entry-1")["log"]
        for name in deployment.entries:
            deployment.stop(name)
        for name in deployment.entries:
            assert deployment.wait_exit(name) == 0, name
        audit_logs(deployment, finished, position)
        secrets_absent(deployment, (key, withdrawn))
    print("operators: all steps passed")


if __name__ == "__main__":
    main()
