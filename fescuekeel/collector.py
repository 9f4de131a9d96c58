"""Pause garbage collection while the daemon is imported and started.

Imports make hundreds of thousands of objects that all stay, and each pass of
the collector goes through them in vain. Importing this module pauses it, so
that it has to come before the modules that are large.
"""

import gc

__all__ = ["resume"]

# Young objects between two passes. Streams make some hundred a second, most of
# which are freed without the collector.
YOUNG_OBJECTS = 10_000
YOUNG_PASSES = 20
OLD_PASSES = 20

gc.disable()


def resume() -> None:
    """Collect again, but nothing of what the start has made."""
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_PASSES, OLD_PASSES)
    gc.enable()
