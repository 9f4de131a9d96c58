"""Pure functions that are independent of the rest of the system."""
