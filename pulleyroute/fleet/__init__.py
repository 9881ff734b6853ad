"""Agreement between processes by a shared store: its client and what is built on it. Off on the platform."""
