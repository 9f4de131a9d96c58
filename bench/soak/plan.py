"""Draw the faults of one run from a seed; pure."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

__all__ = ["FAULTS_PER_S", "Fault", "FaultKind", "make_plan"]


class FaultKind(StrEnum):
    """Name what is done, and to what: a daemon, an endpoint or all."""

    KILL = "kill"
    TERM = "term"
    PAUSE = "pause"
    RELOAD = "reload"
    PEERS_CUT = "peers_cut"
    PEERS_ONE_WAY = "peers_one_way"
    PEERS_SILENT = "peers_silent"
    PEERS_RESET = "peers_reset"
    PEERS_DELAY = "peers_delay"
    STORE_CUT = "store_cut"
    STORE_SILENT = "store_silent"
    STORE_RESET = "store_reset"
    STORE_DELAY = "store_delay"
    STORE_REFUSES = "store_refuses"
    STORE_FORGETS = "store_forgets"
    ENDPOINT_CUT = "endpoint_cut"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_RESET = "endpoint_reset"
    ENDPOINT_DELAY = "endpoint_delay"
    ENDPOINT_FAILS = "endpoint_fails"
    ENDPOINT_SHEDS = "endpoint_sheds"
    ENDPOINT_BREAKS = "endpoint_breaks"
    ENDPOINT_LEAVES = "endpoint_leaves"
    ENDPOINT_CRASHES = "endpoint_crashes"
    CONFIGURATION = "configuration"
    ADAPTER_VERSION = "adapter_version"
    ENDPOINT_RESTARTS = "endpoint_restarts"
    FOREIGN_ENTRY = "foreign_entry"
    KEY_TAKEN = "key_taken"
    KILL_ALL = "kill_all"


# Kinds that came later are drawn apart, so that a seed's other faults stay.
LATER_KINDS = (FaultKind.ENDPOINT_RESTARTS, FaultKind.FOREIGN_ENTRY)
ACCOUNT_KINDS = (FaultKind.KEY_TAKEN,)
WHOLE_KINDS = (FaultKind.KILL_ALL,)
FIRST_KINDS = tuple(
    kind for kind in FaultKind if kind not in LATER_KINDS + ACCOUNT_KINDS + WHOLE_KINDS
)
# Planned work, which must not be seen by any caller.
PLANNED = frozenset(
    {
        FaultKind.TERM,
        FaultKind.RELOAD,
        FaultKind.ENDPOINT_LEAVES,
        FaultKind.CONFIGURATION,
        FaultKind.ADAPTER_VERSION,
        FaultKind.FOREIGN_ENTRY,
        FaultKind.KEY_TAKEN,
    }
)
MAX_LENGTH_S = 3.0
MAX_SERIES = 3
MAX_SERIES_GAP_S = 1.0
FAULTS_PER_S = 1.2


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; times are seconds from the start of the load.

    ``target`` picks a daemon or an endpoint, by its index modulo their number.
    """

    kind: FaultKind
    at: float
    for_s: float
    target: int

    @property
    def planned(self) -> bool:
        """Tell whether it is planned work."""
        return self.kind in PLANNED

    @property
    def ends(self) -> float:
        """Return when it is over."""
        return self.at + self.for_s


def make_plan(seed: int, seconds: float, per_s: float = FAULTS_PER_S) -> list[Fault]:
    """Return the faults of a run in the order of their beginning.

    They come alone or in a short series of the same kind, at any time, so
    that they overlap.

    >>> make_plan(7, 10.0) == make_plan(7, 10.0)
    True
    """
    later_share = len(LATER_KINDS) / len(FIRST_KINDS)
    first = _draw(Random(seed), FIRST_KINDS, seconds, per_s)
    later = _draw(Random(f"{seed} later"), LATER_KINDS, seconds, per_s * later_share)
    account_share = len(ACCOUNT_KINDS) / len(FIRST_KINDS)
    account_faults = _draw(
        Random(f"{seed} accounts"), ACCOUNT_KINDS, seconds, per_s * account_share
    )
    whole_share = len(WHOLE_KINDS) / len(FIRST_KINDS)
    whole = _draw(Random(f"{seed} whole"), WHOLE_KINDS, seconds, per_s * whole_share)
    faults = first + later + account_faults + whole
    return sorted(faults, key=lambda fault: fault.at)


def _draw(
    random: Random, kinds: Sequence[FaultKind], seconds: float, per_s: float
) -> list[Fault]:
    faults: list[Fault] = []
    while len(faults) < seconds * per_s:
        kind = random.choice(kinds)
        at = random.uniform(0.0, seconds)
        target = random.randrange(100)
        for _ in range(random.randint(1, MAX_SERIES)):
            faults.append(Fault(kind, at, random.uniform(0.2, MAX_LENGTH_S), target))
            at += random.uniform(0.0, MAX_SERIES_GAP_S)
            target += random.randint(0, 1)
    return faults
