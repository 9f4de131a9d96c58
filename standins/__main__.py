"""Run the stand-ins of one or both deployments as one process."""

import asyncio
import json
import signal
from pathlib import Path
from typing import Any

import fire

from standins.platform import DEPLOYMENTS_BY_NAME, Platform, start_deployment
from standins.trees import Tree, read_tree

__all__ = ["main"]

BOTH = "both"
EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


def describe(platform: Platform, tree: Tree) -> dict[str, Any]:
    """Return the URLs of all stand-ins, for the port file."""
    pools = tree.intent.pools_by_name
    return {
        "data_centres": list(platform.data_centres),
        "config_url": platform.config_server.url,
        "live_url": platform.live_server.url,
        "store_url": platform.store_server.url,
        "endpoints": [
            {
                "id": item.id,
                "pool": item.pool,
                "kind": pools[item.pool].kind.value,
                "data_centre": item.data_centre,
                "url": item.server.url,
            }
            for item in platform.endpoints_by_id.values()
        ],
    }


async def run(names: list[str], port_file: Path, trees: Path, centres: int) -> None:
    """Start the stand-ins, write the port file and wait for a signal."""
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    platforms = []
    ports = {}
    for name in names:
        tree = read_tree(trees / name)
        pools = tree.intent.pools_by_name
        platform = await start_deployment(DEPLOYMENTS_BY_NAME[name], pools, centres)
        platform.publish(1, tree.contents_by_part)
        platforms.append(platform)
        ports[name] = describe(platform, tree)
    partial = port_file.with_suffix(".partial")
    partial.write_text(json.dumps(ports, indent=1), "utf-8")
    partial.rename(port_file)
    await stopping.wait()
    for platform in platforms:
        await platform.stop()


def start(
    deployment: str = BOTH,
    port_file: str = "standins.json",
    trees: str = str(EXAMPLES),
    centres: int = 2,
) -> None:
    """Start the platform of DEPLOYMENT and write its ports to PORT_FILE."""
    names = list(DEPLOYMENTS_BY_NAME) if deployment == BOTH else [deployment]
    if not set(names) <= DEPLOYMENTS_BY_NAME.keys():
        raise SystemExit(f"no such deployment: {deployment}")
    asyncio.run(run(names, Path(port_file), Path(trees), centres))


def main() -> None:
    """Run the command line interface."""
    fire.Fire(start, name="standins")


if __name__ == "__main__":
    main()
