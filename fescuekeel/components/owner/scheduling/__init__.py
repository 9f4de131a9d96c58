"""Scheduling of one endpoint: queue, loads, evictions and batches."""
