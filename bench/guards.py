"""Remove each guard from a copy of the code; check that its test fails."""

import asyncio
import configparser
import os
import shutil
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Guard", "main", "read_guards"]

ROOT = Path(__file__).resolve().parent.parent
GUARDS_FILE = ROOT / "tests" / "guards.ini"
COPIED = (
    "fescuekeel",
    "platform",
    "standins",
    "bench",
    "tests",
    "examples",
    "pyproject.toml",
)
CONCURRENT = 4
TEST_TIMEOUT_S = 240.0


@dataclass(frozen=True, slots=True)
class Guard:
    """One guard: its source text, the replacement and the covering test."""

    name: str
    file: str
    take_out: str
    put_in: str
    test: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """Results of the test with the guard and without it."""

    guard: Guard
    passes_with_guard: bool
    fails_without_guard: bool
    line: str

    @property
    def noticed(self) -> bool:
        """Return whether the test fails only without the guard."""
        return self.passes_with_guard and self.fails_without_guard


def read_guards(path: Path = GUARDS_FILE) -> list[Guard]:
    """Read the guards; the text of each must occur once in its file."""
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    parser.read_string(path.read_text("utf-8"))
    guards = [Guard(name, **dict(parser[name])) for name in parser.sections()]
    for guard in guards:
        found = (ROOT / guard.file).read_text("utf-8").count(guard.take_out)
        if found != 1:
            raise ValueError(f"{guard.name}: text occurs {found} times, expected once")
    return guards


def _copy_tree(target: Path) -> None:
    ignore = shutil.ignore_patterns("__pycache__")
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, target / name, ignore=ignore)
        else:
            shutil.copy(source, target / name)


async def _run_test(tree: Path, test: str) -> tuple[bool, str]:
    environment = {**os.environ, "PYTHONPATH": str(tree)}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "pytest",
        "-x",
        "--no-header",
        "--tb=line",
        *test.split(),
        cwd=tree,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            output, _ = await process.communicate()
    except TimeoutError:
        process.kill()
        await process.wait()
        return False, "the test timed out"
    lines = output.decode(errors="replace").strip().splitlines()
    errors = [line for line in lines if "Error" in line or line.startswith("FAILED")]
    return process.returncode == 0, (errors or lines or [""])[0]


async def _check(guard: Guard, limit: asyncio.Semaphore) -> Verdict:
    async with limit:
        with tempfile.TemporaryDirectory(prefix="guard-") as folder:
            tree = Path(folder)
            await asyncio.to_thread(_copy_tree, tree)
            passes_with_guard, line = await _run_test(tree, guard.test)
            if not passes_with_guard:
                return Verdict(guard, False, False, line)
            changed = tree / guard.file
            text = changed.read_text("utf-8")
            changed.write_text(text.replace(guard.take_out, guard.put_in), "utf-8")
            passes_without_guard, line = await _run_test(tree, guard.test)
            line = line.replace(str(tree), "")
            return Verdict(guard, True, not passes_without_guard, line)


async def _check_all(guards: list[Guard]) -> list[Verdict]:
    limit = asyncio.Semaphore(CONCURRENT)
    return await asyncio.gather(*[_check(guard, limit) for guard in guards])


def main(wanted: str = "") -> int:
    """Check guards whose name contains ``wanted``; return 0 if all pass."""
    guards = [guard for guard in read_guards() if wanted in guard.name]
    verdicts = asyncio.run(_check_all(guards))
    for verdict in verdicts:
        state = "noticed" if verdict.noticed else "NOT NOTICED"
        if not verdict.passes_with_guard:
            state = "FAILS WITH THE GUARD IN PLACE"
        print(f"{state}: {verdict.guard.name}")
        print(f"    {verdict.guard.test}")
        print(f"    {verdict.line.strip()[:160]}")
    noticed = sum(verdict.noticed for verdict in verdicts)
    print(f"guards total={len(verdicts)} noticed={noticed}")
    return 0 if noticed == len(verdicts) else 1


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:2]))
