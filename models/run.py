#!/usr/bin/env python3
"""Verifies each Spin model, and that Spin finds an error in each of its mutants.

A mutant is the model with one guard removed or changed by the preprocessor symbol MUTANT_<NAME>.
"""

import argparse
import concurrent.futures
import os
import re
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
MUTANT = re.compile(r"\b(MUTANT_[A-Z0-9_]+)\b")


def check(model, mutant, out):
    """Returns whether Spin found an error, and the number of states that it stored."""
    folder = os.path.join(out, os.path.basename(model), mutant or "plain")
    os.makedirs(folder, exist_ok=True)
    defines = [f"-D{mutant}"] if mutant else []
    subprocess.run(["spin", *defines, "-a", model], cwd=folder, check=True, stdout=subprocess.DEVNULL)
    subprocess.run(["cc", "-O2", "-w", "-DSAFETY", "-DMEMLIM=3000", "-DCOLLAPSE", "-o", "pan", "pan.c"], cwd=folder,
                   check=True)
    result = subprocess.run(["./pan", "-m1000000"], cwd=folder, capture_output=True, text=True)
    text = result.stdout + result.stderr
    found = re.search(r"errors: (\d+)", text)
    # A truncated search without an error is inconclusive.
    truncated = "max search depth too small" in text or "out of memory" in text or "Search not completed" in text
    if not found or (truncated and found.group(1) == "0"):
        raise RuntimeError(f"{model} {mutant or ''}: the search is incomplete:\n{text}")
    states = re.search(r"(\S+) states, stored", text)
    return found.group(1) != "0", states.group(1) if states else "?"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", required=True)
    parser.add_argument("models", nargs="*")
    options = parser.parse_args()
    names = options.models or sorted(name for name in os.listdir(HERE) if name.endswith(".pml"))
    jobs = []
    for name in names:
        path = os.path.join(HERE, os.path.basename(name))
        with open(path) as file:
            mutants = sorted(set(MUTANT.findall(file.read())))
        jobs += [(path, mutant) for mutant in [None, *mutants]]
    failed = 0
    out = os.path.abspath(options.out)
    with concurrent.futures.ThreadPoolExecutor(max_workers=3) as pool:
        results = pool.map(lambda job: check(*job, out), jobs)
        for (path, mutant), (error, states) in zip(jobs, results):
            as_expected = error == bool(mutant)
            failed += not as_expected
            verdict = "error found" if error else "no error"
            print(f"{'ok ' if as_expected else 'BAD'} {os.path.basename(path)} {mutant or 'as designed'}: {verdict}, "
                  f"{states} states")
    print(f"models: {len(jobs) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
