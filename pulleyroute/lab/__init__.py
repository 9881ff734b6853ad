"""Load generators, fault campaigns and rule checkers that run on the stand-ins."""
