"""A simulator of the system's members: one seed, virtual time, faults of network, disks and processes, a
judge.

`simulation.py` runs the members' own state machines; `faults.py` draws and applies faults; `operators.py`
are the callers; `judge.py` sees only what the callers saw.
"""
