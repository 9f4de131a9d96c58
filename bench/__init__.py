"""Measurements: the path, the policy and the capacity."""
