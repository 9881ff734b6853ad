"""Loads and judgements on the stand-ins."""
