"""Disable garbage collection until the daemon has started.

Imports allocate hundreds of thousands of long-lived objects, which each
collection would traverse without freeing any. Importing this module disables
the collector, so it must be imported before all large modules.
"""

import gc

__all__ = ["resume"]

# Allocations minus deallocations that trigger a collection. Most objects of a
# stream are freed by reference counting.
GENERATION_0_THRESHOLD = 10_000
GENERATION_1_THRESHOLD = 20
GENERATION_2_THRESHOLD = 20

gc.disable()


def resume() -> None:
    """Enable the collector, exempting all objects that exist by now."""
    gc.freeze()
    gc.set_threshold(
        GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, GENERATION_2_THRESHOLD
    )
    gc.enable()
