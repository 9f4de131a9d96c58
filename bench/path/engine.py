"""Run one stand-in engine: ``python -m bench.path.engine FILE``."""

import asyncio
import signal
import sys
from pathlib import Path

from bench.path.const import ADAPTERS, MAX_RUNNING, MODEL_AT_ENGINE, STEP_S
from standins.engine_http import start_engine
from standins.engine_state import EngineSettings

__all__ = ["main"]


async def run(address_file: Path) -> None:
    """Serve until SIGTERM; write the address to the file once bound."""
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    settings = EngineSettings(
        slots=ADAPTERS, max_running=MAX_RUNNING, step_ms=STEP_S * 1000, keep_s=1.0
    )
    engine, server = await start_engine(settings)
    models = [MODEL_AT_ENGINE.format(number=number) for number in range(ADAPTERS)]
    engine.control({"loaded": models})
    partial = address_file.with_suffix(".partial")
    partial.write_text(server.address, "utf-8")
    partial.rename(address_file)
    await stopping.wait()
    engine.stop()
    await server.stop()


def main() -> None:
    """Parse the command line and run the engine."""
    asyncio.run(run(Path(sys.argv[1])))


if __name__ == "__main__":
    main()
