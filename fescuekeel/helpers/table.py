"""Format nested data as plain text."""

from typing import Any

__all__ = ["format_view"]

INDENT = "  "


def format_view(view: dict[str, Any], depth: int = 0) -> str:
    """Return indented lines, one per key.

    >>> print(format_view({"tree": {"revision": 7}, "none": []}), end="")
    tree:
      revision: 7
    none: -
    """
    width = max((len(str(key)) for key in view), default=0) if depth else 0
    return "".join(_format_item(key, view[key], depth, width) for key in view)


def _format_item(key: str, value: Any, depth: int, width: int) -> str:
    start = INDENT * depth
    if isinstance(value, dict) and value:
        inline = _format_inline(value)
        if inline and depth:
            return f"{start}{key:<{width}}  {inline}\n"
        return f"{start}{key}:\n{format_view(value, depth + 1)}"
    if isinstance(value, list) and value and isinstance(value[0], dict):
        lines = [f"{start}{INDENT}{_format_inline(row) or row}\n" for row in value]
        return f"{start}{key}:\n{''.join(lines)}"
    return f"{start}{key}: {_format_value(value)}\n"


def _format_inline(row: dict[str, Any]) -> str:
    """Return a flat row as ``key=value`` pairs, empty if it is nested."""
    if any(isinstance(value, dict | list) and value for value in row.values()):
        return ""
    return " ".join(f"{key}={_format_value(value)}" for key, value in row.items())


def _format_value(value: Any) -> str:
    if value is None or value == "" or value == [] or value == {}:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list):
        return ", ".join(map(str, value))
    return str(value)
