"""Prints a table row about claims from the store's counts before and after a load."""
import json
import sys

rate, before, after, load, runs = sys.argv[1], *map(json.loads, sys.argv[2:6])
writes = after["writes"] - before["writes"]
conflicts = after["conflicts"] - before["conflicts"]
answered = load["counts"].get("ok", 0)
print(
    f"| {rate} | {answered} of {load['sent']} | {writes} | {writes / max(1, answered):.3f} "
    f"| {conflicts} | {load['p50']:.1f} | {load['p99']:.1f} | {len(runs['twice'])} |"
)
