"""What each part costs by size: measured slopes, their fits and charts; see `docs/CAPACITY.md`."""
