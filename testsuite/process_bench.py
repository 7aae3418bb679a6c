#!/usr/bin/env python3
"""Measures the overhead of entry and agent, by load on an engine with and without them in the same run.

Prints JSON. Not part of CI, since only ratios within a run are comparable.
"""

import argparse
import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.dirname(__file__))
from harness import Deployment, call  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..")


def run_load(deployment, name, targets, key, rate, seconds, stream=True, output_tokens=20):
    scenario = {"duration_s": seconds, "seed": 7, "targets": targets,
                "classes": [{"name": name, "key": key, "rate_per_s": rate, "model": "scent", "stream": stream,
                             "output_tokens": output_tokens, "prompt_characters": 400}]}
    path = os.path.join(deployment.dir, name + ".json")
    with open(path, "w") as file:
        json.dump(scenario, file)
    output = path + ".result"
    subprocess.run([os.path.join(deployment.bin, "wisteriayard-load"), path, "--output", output], check=True,
                   stderr=subprocess.DEVNULL)
    with open(output) as file:
        result = json.load(file)["classes"][0]
    assert not result["errors"], (name, result["errors"])
    return result


def added_latency(direct, routed, field):
    """Latency that entry and agent add, in milliseconds by quantile."""
    return {each: round(routed[field][each] - direct[field][each], 3) for each in ("p50_ms", "p99_ms", "p999_ms")}


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_megabytes(process):
    with open(f"/proc/{process.pid}/status") as file:
        line = next(each for each in file if each.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--rate", type=float, default=100)
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    with Deployment(os.path.abspath(options.bin)) as deployment:
        deployment.start_platform()
        deployment.start_entry("entry", "amman-a", "amman", "--traffic-threads", "2")
        engine = deployment.start_fake("engine", "engine", "--model", "scent", "--token-ms", "5", "--slots", "500")
        deployment.start_agent("engine-1", "amman-a", "amman", "scent", "engine", engine, slots=500)
        deployment.wait_ready()
        with open(os.path.join(ROOT, "examples", "nadira", "jordan.json")) as file:
            contract = json.load(file)
        contract["limits"] = {}
        path = os.path.join(deployment.dir, "contract.json")
        with open(path, "w") as file:
            json.dump(contract, file)
        deployment.ctl("contract", "put", path)
        key = deployment.issue_key("jordan")
        entry = deployment.entries["entry"]
        call(entry, "GET", "/v1/models", key=key)
        figures = {"rate_per_s": options.rate, "seconds": options.seconds}
        for stream in (True, False):
            kind = "stream" if stream else "whole"
            before = cpu_seconds(deployment.processes["entry"]), cpu_seconds(deployment.processes["engine-1-agent"])
            routed = run_load(deployment, "routed", [entry], key, options.rate, options.seconds, stream)
            after = cpu_seconds(deployment.processes["entry"]), cpu_seconds(deployment.processes["engine-1-agent"])
            direct = run_load(deployment, "direct", [engine], key, options.rate, options.seconds, stream)
            tokens = max(1, routed["output_tokens"])
            figures[kind] = {
                "requests": routed["complete"],
                "total_added": added_latency(direct, routed, "total"),
                "entry_cpu_us_per_request": round((after[0] - before[0]) / routed["complete"] * 1e6, 1),
                "agent_cpu_us_per_request": round((after[1] - before[1]) / routed["complete"] * 1e6, 1),
            }
            if stream:
                figures[kind]["first_token_added"] = added_latency(direct, routed, "first_token")
                figures[kind]["between_tokens_ratio"] = round(
                    routed["between_tokens"]["p50_ms"] / direct["between_tokens"]["p50_ms"], 4)
                figures[kind]["entry_cpu_us_per_token"] = round((after[0] - before[0]) / tokens * 1e6, 2)
                figures[kind]["agent_cpu_us_per_token"] = round((after[1] - before[1]) / tokens * 1e6, 2)
        figures["entry_resident_mb"] = round(resident_megabytes(deployment.processes["entry"]), 1)
        figures["agent_resident_mb"] = round(resident_megabytes(deployment.processes["engine-1-agent"]), 1)
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
