"""Read the parts of a tree from a folder, for the sample load."""

import re
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from returns.pipeline import is_successful
from returns.result import Result

from fescuekeel.components.tree.intent import CompactIntent, build_intent
from fescuekeel.components.tree.parts import TreePartModel, parse_part
from fescuekeel.errors import Failure

__all__ = ["Tree", "find_token", "read_tree"]

V = TypeVar("V")
TOKEN_PATTERN = re.compile(r"[A-Za-z0-9._~+/-]+=*")


@dataclass(frozen=True, slots=True)
class Tree:
    """The parts of a tree, as published and as parsed."""

    contents_by_part: dict[str, bytes]
    models: tuple[TreePartModel, ...]
    intent: CompactIntent

    def list_adapters(self, path: str) -> list[str]:
        """Return the names of the adapters of ``SHOP/SERVICE``."""
        return [
            name
            for model in self.models
            if path in model.rosters_by_path
            for name in model.rosters_by_path[path]
        ]


def read_tree(folder: Path) -> Tree:
    """Read each ``*.ini`` of a folder as a part; raise ``ValueError``."""
    contents = {path.stem: path.read_bytes() for path in sorted(folder.glob("*.ini"))}
    if not contents:
        raise ValueError(f"{folder.name}: no *.ini files found")
    models = [_unwrap(parse_part(*item)) for item in contents.items()]
    return Tree(contents, tuple(models), _unwrap(build_intent(1, models)))


def _unwrap(result: Result[V, Failure]) -> V:
    if not is_successful(result):
        raise ValueError(result.failure().detail)
    return result.unwrap()


def find_token(tree: Tree, shop: str, text: str) -> str | None:
    """Return the first word of a text that is a token of the shop."""
    for word in TOKEN_PATTERN.findall(text):
        if tree.intent.authenticate(word) == shop:
            return str(word)
    return None
