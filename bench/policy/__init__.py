"""The policy under load: the real decisions on a virtual clock."""

from bench.policy.report import main

__all__ = ["main"]
