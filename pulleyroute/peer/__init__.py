"""What the processes of the system share: framing and settings."""
