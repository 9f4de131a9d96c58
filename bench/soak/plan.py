"""Generate the faults of one run from a seed; pure."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from itertools import chain
from random import Random

__all__ = ["DAEMON_KINDS", "FAULTS_PER_S", "Fault", "FaultKind", "make_plan"]


class FaultKind(StrEnum):
    """Faults of daemons, endpoints, the store and the configuration."""

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
    EARLY_SIGNALS = "early_signals"
    SETTINGS_REWRITTEN = "settings_rewritten"
    PEERS_FROZEN = "peers_frozen"
    CRASHING_REQUEST = "crashing_request"
    ENDPOINT_LIMIT = "endpoint_limit"
    LINKS_HANG = "links_hang"
    LINKS_RESET = "links_reset"
    LINKS_REFUSE = "links_refuse"
    ENDPOINT_PAUSES = "endpoint_pauses"
    SERVICE_BRITTLE = "service_brittle"
    ENDPOINT_FRAMING = "endpoint_framing"
    ANSWERS_BREAK = "answers_break"
    VERSION_RELEASE = "version_release"
    VERSION_IN_PLACE = "version_in_place"
    SERVICE_FAILS = "service_fails"
    CRASHING_PART = "crashing_part"
    CONNECTIONS_SKEWED = "connections_skewed"
    ENDPOINT_SAYS_LEAVING = "endpoint_says_leaving"
    ENDPOINT_BACKS_OFF = "endpoint_backs_off"
    STORE_RESTORED = "store_restored"
    STORE_TURNS_AWAY = "store_turns_away"
    POWER_LOST = "power_lost"
    ANSWERS_COPIED = "answers_copied"
    HEADS_STOP = "heads_stop"


# These kinds have random streams of their own, by name, so that a seed draws
# the same faults of the others.
KINDS_BY_STREAM: dict[str, tuple[FaultKind, ...]] = {
    "later": (FaultKind.ENDPOINT_RESTARTS, FaultKind.FOREIGN_ENTRY),
    "accounts": (FaultKind.KEY_TAKEN,),
    "whole": (FaultKind.KILL_ALL,),
    "starts": (
        FaultKind.EARLY_SIGNALS,
        FaultKind.SETTINGS_REWRITTEN,
        FaultKind.PEERS_FROZEN,
    ),
    "crashing": (FaultKind.CRASHING_REQUEST,),
    "limits": (FaultKind.ENDPOINT_LIMIT,),
    "links": (
        FaultKind.LINKS_HANG,
        FaultKind.LINKS_RESET,
        FaultKind.LINKS_REFUSE,
        FaultKind.ENDPOINT_PAUSES,
    ),
    "brittle": (FaultKind.SERVICE_BRITTLE,),
    "answers": (FaultKind.ENDPOINT_FRAMING, FaultKind.ANSWERS_BREAK),
    "versions": (FaultKind.VERSION_RELEASE, FaultKind.VERSION_IN_PLACE),
    "retries": (FaultKind.SERVICE_FAILS,),
    "parts": (FaultKind.CRASHING_PART,),
    "skew": (FaultKind.CONNECTIONS_SKEWED,),
    "leaving": (FaultKind.ENDPOINT_SAYS_LEAVING,),
    "back off": (FaultKind.ENDPOINT_BACKS_OFF,),
    "restore": (FaultKind.STORE_RESTORED,),
    "turned away": (FaultKind.STORE_TURNS_AWAY,),
    "power": (FaultKind.POWER_LOST,),
    "copies": (FaultKind.ANSWERS_COPIED,),
    "heads": (FaultKind.HEADS_STOP,),
}
LATER_KINDS = frozenset(chain.from_iterable(KINDS_BY_STREAM.values()))
BASE_KINDS = tuple(kind for kind in FaultKind if kind not in LATER_KINDS)
# These disturb daemons or their connections to each other and to the store.
DAEMON_KINDS = frozenset(
    kind
    for kind in FaultKind
    if kind.name.startswith(("PEERS_", "STORE_", "KILL", "LINKS_"))
    or kind
    in (
        FaultKind.TERM,
        FaultKind.PAUSE,
        FaultKind.EARLY_SIGNALS,
        FaultKind.SETTINGS_REWRITTEN,
        FaultKind.POWER_LOST,
    )
)
# Planned maintenance, which must not fail any request.
PLANNED = frozenset(
    {
        FaultKind.TERM,
        FaultKind.RELOAD,
        FaultKind.ENDPOINT_LEAVES,
        FaultKind.CONFIGURATION,
        FaultKind.ADAPTER_VERSION,
        FaultKind.FOREIGN_ENTRY,
        FaultKind.KEY_TAKEN,
        FaultKind.ENDPOINT_LIMIT,
        FaultKind.ENDPOINT_FRAMING,
        FaultKind.VERSION_RELEASE,
        FaultKind.ENDPOINT_SAYS_LEAVING,
        FaultKind.ENDPOINT_BACKS_OFF,
    }
)
MAX_DURATION_S = 3.0
MAX_FAULTS_IN_SERIES = 3
MAX_SERIES_GAP_S = 1.0
FAULTS_PER_S = 1.2


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; times are in seconds after the start of the load.

    ``target`` selects a daemon or an endpoint, by index modulo their number.
    """

    kind: FaultKind
    starts_at: float
    duration_s: float
    target: int

    @property
    def planned(self) -> bool:
        """Return whether this is planned maintenance."""
        return self.kind in PLANNED

    @property
    def ends_at(self) -> float:
        """Return the end of the fault."""
        return self.starts_at + self.duration_s


def make_plan(
    seed: int, seconds: float, faults_per_s: float = FAULTS_PER_S
) -> list[Fault]:
    """Return the faults of a run, ordered by start.

    Each one is single or part of a short series of its kind; faults overlap.

    >>> make_plan(7, 10.0) == make_plan(7, 10.0)
    True
    """
    faults = _draw_faults(Random(seed), BASE_KINDS, seconds, faults_per_s)
    for name, kinds in KINDS_BY_STREAM.items():
        share = len(kinds) / len(BASE_KINDS)
        random = Random(f"{seed} {name}")
        faults += _draw_faults(random, kinds, seconds, faults_per_s * share)
    return sorted(faults, key=lambda fault: fault.starts_at)


def _draw_faults(
    random: Random, kinds: Sequence[FaultKind], seconds: float, faults_per_s: float
) -> list[Fault]:
    faults: list[Fault] = []
    while len(faults) < seconds * faults_per_s:
        kind = random.choice(kinds)
        at = random.uniform(0.0, seconds)
        target = random.randrange(100)
        for _ in range(random.randint(1, MAX_FAULTS_IN_SERIES)):
            faults.append(Fault(kind, at, random.uniform(0.2, MAX_DURATION_S), target))
            at += random.uniform(0.0, MAX_SERIES_GAP_S)
            target += random.randint(0, 1)
    return faults
