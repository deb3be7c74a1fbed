"""Measures how soon a change of the configuration is in force everywhere.

Usage: inforce.py CHANGES OPERATORS_URL...

Sends changes through the first entry instance and asks all of them for their
version until each has it. Prints a row with the times from the answer to the
author until the last entry instance had the change, in milliseconds.
"""
import json
import sys
import time
import urllib.request


def put(base, n):
    doc = {"kind": "Parameters", "name": "measure", "weight": 1 + n % 9}
    req = urllib.request.Request(
        f"{base}/v1/config/Parameters/measure?author=inforce", json.dumps(doc).encode(), method="PUT"
    )
    with urllib.request.urlopen(req) as res:
        return json.load(res)["version"]


def version(base):
    with urllib.request.urlopen(f"{base}/v1/status") as res:
        return json.load(res)["configVersion"]


changes, bases = int(sys.argv[1]), sys.argv[2:]
took = []
for n in range(changes):
    want = put(bases[n % len(bases)], n)
    start = time.monotonic()
    waiting = set(bases)
    while waiting:
        waiting = {b for b in waiting if version(b) < want}
    took.append(1000 * (time.monotonic() - start))
    time.sleep(0.2)
took.sort()
print(f"| {changes} | {len(bases)} | {took[len(took) // 2]:.0f} | {took[-1]:.0f} |")
