"""The owner component."""
