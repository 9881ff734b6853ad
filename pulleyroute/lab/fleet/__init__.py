"""A test rig for fleets: real processes, links between them, and faults injected by a schedule."""
