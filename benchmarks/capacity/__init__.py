"""Costs of each part by size: measurements, fits and charts; see `docs/CAPACITY.md`."""
