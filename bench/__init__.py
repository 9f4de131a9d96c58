"""Measurements, the soak, fuzzing and guard checks."""
