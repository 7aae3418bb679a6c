#!/usr/bin/env python3
"""Checks that standard HTTP clients (curl and httpx) work without special headers.

Guards against responses that only the project's own test harness accepts.
"""

import argparse
import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Deployment, expected_words  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
SYSTEM_PYTHON = "/usr/bin/python3"  # the interpreter that Debian's python3-httpx is installed for

HTTPX_SCRIPT = """
import httpx, json, sys
base, key = sys.argv[1:]
with httpx.Client(base_url=base, headers={"Authorization": f"Bearer {key}"}) as client:
    models = [each["id"] for each in client.get("/v1/models").json()["data"]]
    body = {"model": "scent", "stream": True, "stream_options": {"include_usage": True},
            "messages": [{"role": "user", "content": "hi length=7"}]}
    text, usage = "", None
    with client.stream("POST", "/v1/chat/completions", json=body) as response:
        for line in response.iter_lines():
            data = line.strip()[6:] if line.startswith("data: ") else "[DONE]"
            if data == "[DONE]":
                continue
            event = json.loads(data)
            usage = event.get("usage", usage)
            text += "".join(each["delta"].get("content", "") for each in event["choices"])
    error = client.post("/v1/chat/completions", json={"model": "scent"}).json()["error"]
print(json.dumps({"models": models, "text": text, "usage": usage, "error": error}))
"""


def curl(*arguments):
    result = subprocess.run(["curl", "--silent", "--show-error", "--max-time", "60", *arguments], check=True,
                            capture_output=True, text=True)
    return result.stdout


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    with Deployment(os.path.abspath(parser.parse_args().bin)) as deployment:
        deployment.start_platform()
        deployment.start_entry("entry", "amman-a", "amman")
        engine = deployment.start_fake("engine", "engine", "--model", "scent", "--token-ms", "1")
        deployment.start_agent("engine-1", "amman-a", "amman", "scent", "engine", engine)
        deployment.wait_ready()
        deployment.ctl("contract", "put", os.path.join(ROOT, "examples", "nadira", "cedar.json"))
        key = deployment.issue_key("cedar")
        base = f"http://{deployment.entries['entry']}"

        auth = ["--header", f"Authorization: Bearer {key}"]
        body = json.dumps({"model": "scent", "messages": [{"role": "user", "content": "hi length=7"}]})
        answer = json.loads(curl(*auth, "--data", body, f"{base}/v1/chat/completions"))
        assert answer["choices"][0]["message"]["content"] == expected_words("hi length=7", 7), answer
        assert answer["usage"]["completion_tokens"] == 7, answer
        head = curl("--head", "--request", "GET", f"{base}/v1/models")
        assert "401" in head.splitlines()[0] and "x-request-id" in head.lower(), head

        result = subprocess.run([SYSTEM_PYTHON, "-c", HTTPX_SCRIPT, base, key], check=True, capture_output=True,
                                text=True)
        seen = json.loads(result.stdout)
        assert seen["models"] == ["scent"], seen
        assert seen["text"] == expected_words("hi length=7", 7), seen
        assert seen["usage"]["completion_tokens"] == 7, seen
        assert seen["error"]["outcome"] == "not_run" and "messages" in seen["error"]["message"], seen
    print("http_clients: passed")


if __name__ == "__main__":
    main()
