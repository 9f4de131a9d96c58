"""Helpers shared by the kernel and the components."""
