"""Stateful fuzzing of several instances on a virtual clock."""
