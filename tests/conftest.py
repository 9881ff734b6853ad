"""The same cases in every run, whatever the machine's speed."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
