#!/usr/bin/env python3
"""Generates docs/CAPACITY.md from the measurements in docs/data, to keep the two consistent."""

import json
import os

DOCS = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "docs")

ENTRIES, ENDPOINTS, ZONES = 810, 3700, 14
TOKENS_PER_S = 14_000_000
CORE_LIMIT, MEMORY_LIMIT, BYTES_LIMIT = 2.8, 128, 3000
STORE_READS, STORE_WRITES = 2000, 300  # "several hundred" writes, taken as 300
PART_INTERVAL_S = 5
ONCE_PARTITIONS, ONCE_INTERVAL_S, SERVICES = 16, 0.1, 1


def load(name):
    with open(os.path.join(DOCS, "data", name + ".json")) as file:
        return json.load(file)


def fits(value, limit):
    return "fits" if value <= limit else f"does not fit, by a factor of {value / limit:.1f}"


def control_rows(lines):
    instances = ENTRIES + ENDPOINTS
    core = max(0, lines["core_percent_per_entry"]["base"])
    memory = lines["resident_mb_per_entry"]["base"] + lines["resident_mb_per_entry"]["slope"] * ENTRIES
    octets = lines["bytes_per_s_per_entry"]["base"] + lines["bytes_per_s_per_entry"]["slope"] * instances
    return [
        ("entry", "processor time for control", f"{core:.2f}% of a core", f"{CORE_LIMIT}%", fits(core, CORE_LIMIT),
         "one control thread, tick of 10 ms", "`src/wisteriayardd/entry_control.cpp`"),
        ("entry", "memory without contracts and streams", f"{memory:.0f} MB", f"{MEMORY_LIMIT} MB",
         fits(memory, MEMORY_LIMIT), "views in memory", "`src/libwisteriayard/view.cpp`"),
        ("entry", f"control bytes a second with {instances} listed instances", f"{octets / 1000:.0f} KB/s", "3 KB/s",
         fits(octets, BYTES_LIMIT), "each entry reads the whole instance list twice a second; to come: relays pass "
         "on changes of the list", "`EntryControl::pollInstances`"),
    ]


def limit_rows(limits):
    rows = [row for row in limits if row["entries"] == 300 and row["scenario"] == "steady"]
    mean = max(row["bytes_per_s_per_node"] for row in rows)
    busiest = max(row["bytes_per_s_busiest_node"] for row in rows)
    return [
        ("entry", "bytes a second for limits, mean of 300 entries and 5 busy accounts", f"{mean / 1000:.2f} KB/s",
         "3 KB/s", fits(mean, BYTES_LIMIT), "the budget owner of an account grants shares",
         "`src/libwisteriayard/limits.cpp`"),
        ("entry", "the same, budget owner of the busiest account", f"{busiest / 1000:.1f} KB/s", "3 KB/s",
         fits(busiest, BYTES_LIMIT), "to come: a tree of budget owners for an account that many entries use",
         "`src/libwisteriayard/limits.cpp`"),
    ]


def store_rows(lines):
    zone = ENTRIES / ZONES
    reads = ZONES * (lines["store_reads_per_s"]["base"] + lines["store_reads_per_s"]["slope"] * zone)
    leases = ZONES * lines["store_writes_per_s"]["base"]
    parts = ENTRIES / PART_INTERVAL_S
    once = SERVICES * ONCE_PARTITIONS / ONCE_INTERVAL_S
    writes = leases + parts + once
    watches = ZONES * lines["store_watches"]["base"]
    return [
        ("store", "reads a second, without callers", f"{reads:.0f}", str(STORE_READS), fits(reads, STORE_READS),
         "relays read; each entry looks at two leases. To come: only the first entries of a zone look",
         "`src/wisteriayardd/lease_keeper.cpp`"),
        ("store", "writes a second: leases, usage parts, one service's at-most-once log at its bound",
         f"{leases:.0f} + {parts:.0f} + {once:.0f} = {writes:.0f}", f"several hundred ({STORE_WRITES})",
         fits(writes, STORE_WRITES), "cumulative parts; group commit for each partition",
         "`usage_reporter.cpp`, `once_keeper.cpp`"),
        ("store", "waiting watches", f"{watches:.0f}", "counted as reads", fits(watches + reads, STORE_READS),
         "two relays for each zone", "`src/libwisteriayard/fanout.cpp`"),
    ]


def traffic_rows(process):
    stream = process["stream"]
    entry = TOKENS_PER_S / ENTRIES * stream["entry_cpu_us_per_token"] / 1e6
    agent = TOKENS_PER_S / ENDPOINTS * stream["agent_cpu_us_per_token"] / 1e6
    return [
        ("entry", f"processor time for {TOKENS_PER_S / ENTRIES:.0f} tokens/s (from {process['rate_per_s']:.0f} "
         "requests/s of 20 tokens)", f"{entry:.1f} cores", "none given", "-", "one chunk for each token; to come: "
         "chunks of several tokens under load", "`caller_handler.cpp`"),
        ("agent", f"processor time for {TOKENS_PER_S / ENDPOINTS:.0f} tokens/s", f"{agent:.2f} cores", "none given",
         "-", "as above", "`agent.cpp`"),
        ("agent", "memory", f"{process['agent_resident_mb']} MB", f"{MEMORY_LIMIT} MB",
         fits(process["agent_resident_mb"], MEMORY_LIMIT), "-", "`agent.cpp`"),
    ]


def main():
    control, process, limits = load("control_cost"), load("process_bench"), load("limits_bench")
    lines = control["lines"]
    rows = control_rows(lines) + limit_rows(limits) + store_rows(lines) + traffic_rows(process)
    text = """# Capacity at the size of two years on

810 entries, 3,700 endpoints with an agent each, 31,000 requests and 14 million tokens a second, 6,000 accounts, 8 models, 4 regions with 14 zones. Worked out by `testsuite/capacity_table.py` from the figures in `docs/data/`, which `testsuite/control_cost.py` (3 to 58 idle entries of one zone on one machine), `testsuite/process_bench.py` and `limits_bench` printed. Bytes are those of the loopback interface, so frames of both directions count. A row that goes far beyond the measured range is a straight line drawn on, no measurement.

| role | what | at that size | limit | verdict | mechanism | where |
|---|---|---|---|---|---|---|
"""
    for row in rows:
        text += "| " + " | ".join(row) + " |\n"
    text += "\nSlopes by least squares over the number of entries:\n\n| figure | base | slope for each entry | largest residual |\n|---|---|---|---|\n"
    for name, line in lines.items():
        text += f"| {name} | {line['base']} | {line['slope']} | {line['largest_residual']} |\n"
    times = [each for row in control["rows"] for each in row["contract_in_force_s"]]
    text += f"""
A contract change was in force at every entry {min(times) * 1000:.0f} to {max(times) * 1000:.0f} ms after the command began, at 3 to 58 entries (target 5 s).

Not measured yet: cost with 6,000 contracts and keys in the view, with thousands of endpoints, of links between regions, of a failed rack, zone or link, and of 1,100 restarts a day (one each 79 s, each of which changes the budget owner of 1/810 of the accounts); memory for each open stream.
"""
    with open(os.path.join(DOCS, "CAPACITY.md"), "w") as file:
        file.write(text)


if __name__ == "__main__":
    main()
