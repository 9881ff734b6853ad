"""Agreement between processes: a common store's client, and what rests on it. Off on the platform."""
