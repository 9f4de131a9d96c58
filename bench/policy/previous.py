"""Scheduling code of an earlier revision, read from the repository."""

import importlib
import subprocess
import sys
from pathlib import Path
from types import ModuleType

__all__ = ["find_previous", "load_revision"]

ROOT = Path(__file__).resolve().parent.parent.parent
SCHEDULING = "fescuekeel/components/owner/scheduling"
PACKAGE = "fescuekeel.components.owner.scheduling"
# Events and effects are shared with the current code, so that matching works.
SHARED = ("model.py",)
SHARED_IMPORT = f"from {PACKAGE} import model"


def find_previous() -> str | None:
    """Return the last revision whose scheduling differs from the current one.

    Returns ``None`` outside a repository or when there is none.
    """
    if _git("status", "--porcelain", "--", SCHEDULING):
        return _git("rev-parse", "--short", "HEAD") or None
    revisions = _git("log", "-2", "--format=%h", "--", SCHEDULING).split()
    return revisions[1] if len(revisions) > 1 else None


def load_revision(revision: str) -> ModuleType:
    """Import the decisions of an earlier revision under a separate name."""
    name = f"previous_{revision}"
    target = ROOT / "build" / "previous" / name
    target.mkdir(parents=True, exist_ok=True)
    for path in _git("ls-tree", "--name-only", f"{revision}:{SCHEDULING}").split():
        if path in SHARED:
            continue
        text = _git("show", f"{revision}:{SCHEDULING}/{path}")
        text = text.replace(PACKAGE, name)
        for module in SHARED:
            stem = module.removesuffix(".py")
            text = text.replace(f"{name}.{stem}", f"{PACKAGE}.{stem}")
            text = text.replace(f"from {name} import {stem}", SHARED_IMPORT)
        (target / path).write_text(text + "\n", "utf-8")
    sys.path.insert(0, str(target.parent))
    try:
        return importlib.import_module(f"{name}.decision")
    finally:
        sys.path.remove(str(target.parent))


def _git(*arguments: str) -> str:
    done = subprocess.run(
        ["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return done.stdout.strip() if done.returncode == 0 else ""
