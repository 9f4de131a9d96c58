"""Make the dialect's package importable."""

import sys
from pathlib import Path

FOLDER = str(Path(__file__).parent.parent.parent / "platform")
if FOLDER not in sys.path:
    sys.path.append(FOLDER)
