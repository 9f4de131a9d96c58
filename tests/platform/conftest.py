"""Add the dialect's package to the import path."""

import sys
from pathlib import Path

PACKAGE_PARENT = str(Path(__file__).parent.parent.parent / "platform")
if PACKAGE_PARENT not in sys.path:
    sys.path.append(PACKAGE_PARENT)
