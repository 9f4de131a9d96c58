"""Simulation of the scheduling policy on a virtual clock."""

from bench.policy.report import main

__all__ = ["main"]
