"""Pure functions with no knowledge of the system."""
