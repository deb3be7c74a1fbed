"""Measures how long a configuration change takes to be in force everywhere.

Usage: inforce.py CHANGES OPERATORS_URL...

Sends the changes through the entry instances in turn, and polls all of them for
their configuration version until each has the change. Prints a table row with the
median and the longest time from the response to the change until the last entry
instance had it, in milliseconds.
"""
import json
import sys
import time
import urllib.request


def put_change(base, n):
    """Changes the configuration and returns its new version."""
    doc = {"kind": "Parameters", "name": "measure", "weight": 1 + n % 9}
    req = urllib.request.Request(
        f"{base}/v1/config/Parameters/measure?author=inforce", json.dumps(doc).encode(), method="PUT"
    )
    with urllib.request.urlopen(req) as res:
        return json.load(res)["version"]


def config_version(base):
    """Returns the version of the configuration at an entry instance."""
    with urllib.request.urlopen(f"{base}/v1/status") as res:
        return json.load(res)["configVersion"]


changes, bases = int(sys.argv[1]), sys.argv[2:]
durations = []
for n in range(changes):
    want = put_change(bases[n % len(bases)], n)
    start = time.monotonic()
    outdated = set(bases)
    while outdated:
        outdated = {b for b in outdated if config_version(b) < want}
    durations.append(1000 * (time.monotonic() - start))
    time.sleep(0.2)
durations.sort()
print(f"| {changes} | {len(bases)} | {durations[len(durations) // 2]:.0f} | {durations[-1]:.0f} |")
