"""The tree component."""
