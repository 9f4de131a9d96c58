"""The gateway component."""
