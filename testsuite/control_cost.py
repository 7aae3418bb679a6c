#!/usr/bin/env python3
"""Measures the cost of the control plane by number of entries, without client traffic.

Prints JSON with the figures for each number of entries, and slopes by least squares with their residuals. Not part
of CI. Bytes are counted at the loopback interface and include frames and headers of both directions.
"""

import argparse
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))
from harness import Deployment, call  # noqa: E402
from process_bench import cpu_seconds, resident_megabytes  # noqa: E402

ROOT = os.path.join(os.path.dirname(__file__), "..")
ENTRIES_PER_ZONE = 58  # 810 entries over 14 zones


def loopback_bytes():
    with open("/proc/net/dev") as file:
        line = next(each for each in file if each.strip().startswith("lo:"))
    return int(line.split(":")[1].split()[0])


def store_calls(deployment):
    stats = call(deployment.store, "GET", "/fake/stats").json()
    return stats["reads"], stats["writes"], stats["watches"]


def time_until_in_force(deployment, weight):
    """Writes a contract and returns the seconds until every entry has applied the new revision."""
    with open(os.path.join(ROOT, "examples", "nadira", "jordan.json")) as file:
        contract = json.load(file)
    contract["weight"] = weight
    path = os.path.join(deployment.dir, "contract.json")
    with open(path, "w") as file:
        json.dump(contract, file)
    began = time.monotonic()
    result = json.loads(deployment.ctl("--json", "--wait-ms", "20000", "contract", "put", path).stdout)
    assert result["in_force"], result
    return time.monotonic() - began


def measure(binaries, count, seconds):
    with Deployment(binaries) as deployment:
        deployment.start_platform()
        for index in range(count):
            zone = index // ENTRIES_PER_ZONE
            deployment.start_entry(f"entry-{index}", f"zone-{zone}", "region", "--traffic-threads", "1")
        deployment.wait_ready()
        time.sleep(3)
        processes = [deployment.processes[name] for name in deployment.entries]
        cpu, octets, calls = sum(map(cpu_seconds, processes)), loopback_bytes(), store_calls(deployment)
        time.sleep(seconds)
        cpu, octets = sum(map(cpu_seconds, processes)) - cpu, loopback_bytes() - octets
        after = store_calls(deployment)
        times = [time_until_in_force(deployment, weight) for weight in (2, 3, 4)]
        return {
            "entries": count,
            "core_percent_per_entry": round(cpu / seconds / count * 100, 3),
            "bytes_per_s_per_entry": round(octets / seconds / count),
            "resident_mb_per_entry": round(sum(map(resident_megabytes, processes)) / count, 1),
            "store_reads_per_s": round((after[0] - calls[0]) / seconds, 2),
            "store_writes_per_s": round((after[1] - calls[1]) / seconds, 2),
            "store_watches": after[2],
            "contract_in_force_s": [round(each, 3) for each in times],
        }


def fit_line(rows, field):
    """Least-squares line of a figure over the number of entries, and the largest residual."""
    xs, ys = [row["entries"] for row in rows], [row[field] for row in rows]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum((x - mean_x) ** 2 for x in xs)
    base = mean_y - slope * mean_x
    return {"slope": round(slope, 5), "base": round(base, 3),
            "largest_residual": round(max(abs(y - base - slope * x) for x, y in zip(xs, ys)), 3)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--entries", type=int, nargs="+", default=[3, 10, 30, 60])
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    rows = [measure(os.path.abspath(options.bin), count, options.seconds) for count in options.entries]
    fields = ["core_percent_per_entry", "bytes_per_s_per_entry", "resident_mb_per_entry", "store_reads_per_s",
              "store_writes_per_s", "store_watches"]
    print(json.dumps({"rows": rows, "lines": {field: fit_line(rows, field) for field in fields}}, indent=1))


if __name__ == "__main__":
    main()
