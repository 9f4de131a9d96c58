"""Run one measurement by name: ``python -m bench NAME [options]``."""

import importlib
import importlib.util
import sys

USAGE_ERROR = 2


def main(arguments: list[str]) -> int:
    """Run ``main`` of the named module with the options."""
    name = arguments[0] if arguments else ""
    if not name.isidentifier() or importlib.util.find_spec(f"bench.{name}") is None:
        print(f"no such measurement: {name!r}", file=sys.stderr)
        return USAGE_ERROR
    module = importlib.import_module(f"bench.{name}")
    return int(module.main(arguments[1:]) or 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
