"""The kernel: message bus, actors, component registry and the instance."""

import asyncio
import importlib
import json
import pkgutil
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol, TypeVar

from hdrh.histogram import HdrHistogram

from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.settings import Settings
from fescuekeel.messages import PeerMessage, SettingsReloaded

__all__ = [
    "REGISTRY",
    "Actor",
    "Bus",
    "Component",
    "Instance",
    "Manifest",
    "Metrics",
    "Registry",
]

M = TypeVar("M")
Handler = Callable[[Any], None]
PeerHandler = Callable[[PeerMessage], None]
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_FIGURES = 2
# How much longer than shutdown_s one component may take to stop.
STOP_MARGIN_S = 5.0


def read_clock() -> float:
    """Return seconds of a steady clock that goes on during a suspension.

    Guards against a machine that was suspended: the usual steady clock stands
    still meanwhile, so that a lease checked on it is still valid at the
    wake-up, although others have long taken it over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Component(Protocol):
    """Describe what the kernel asks of a component."""

    async def start(self) -> None:
        """Begin work; return when the component can be used."""

    async def stop(self) -> None:
        """Finish work in progress and free every socket and task."""


Setup = Callable[["Instance"], Component]


@dataclass(frozen=True, slots=True)
class Manifest:
    """Describe a component as its ``manifest.json`` does.

    ``interface`` names the interface that needs the component, empty where
    each does. A dependency that the instance's interface leaves out is passed
    over.
    """

    domain: str
    dependencies: tuple[str, ...]
    requirements: tuple[str, ...]
    interface: str = ""


class Registry:
    """Hold the set-up function of each component by its domain.

    A component registers itself when its package is imported::

        REGISTRY.register(DOMAIN, setup)
    """

    def __init__(self) -> None:
        self.setups_by_domain: dict[str, Setup] = {}

    def register(self, domain: str, setup: Setup) -> None:
        """Add one component; a domain is registered once."""
        if domain in self.setups_by_domain:
            raise ValueError(f"component {domain!r} is registered twice")
        self.setups_by_domain[domain] = setup


REGISTRY = Registry()


def read_manifests() -> dict[str, Manifest]:
    """Return the manifests of all components by domain."""
    package = importlib.import_module("fescuekeel.components")
    root = Path(package.__path__[0])
    manifests_by_domain = {}
    for module in pkgutil.iter_modules(package.__path__):
        raw = json.loads((root / module.name / "manifest.json").read_text("utf-8"))
        manifests_by_domain[raw["domain"]] = Manifest(
            domain=raw["domain"],
            dependencies=tuple(raw["dependencies"]),
            requirements=tuple(raw["requirements"]),
            interface=raw.get("interface", ""),
        )
    return manifests_by_domain


def select_manifests(
    manifests_by_domain: dict[str, Manifest], interface: str
) -> dict[str, Manifest]:
    """Return the components of an interface.

    >>> manifest = Manifest("a", (), (), "completions")
    >>> select_manifests({"a": manifest}, "forwarding")
    {}
    """
    return {
        domain: manifest
        for domain, manifest in manifests_by_domain.items()
        if manifest.interface in ("", interface)
    }


def order_domains(manifests_by_domain: dict[str, Manifest]) -> list[str]:
    """Sort domains so that each one comes after what it depends on.

    >>> a = Manifest("a", ("b",), ())
    >>> b = Manifest("b", (), ())
    >>> order_domains({"a": a, "b": b})
    ['b', 'a']
    """
    ordered: list[str] = []
    visiting: set[str] = set()

    def visit(domain: str) -> None:
        if domain in ordered:
            return
        if domain in visiting:
            raise ValueError(f"component {domain!r} depends on itself")
        visiting.add(domain)
        for dependency in manifests_by_domain[domain].dependencies:
            if dependency in manifests_by_domain:
                visit(dependency)
        ordered.append(domain)

    for domain in sorted(manifests_by_domain):
        visit(domain)
    return ordered


class Bus:
    """Carry typed messages between the components of one instance.

    A handler is a plain function that returns at once: an actor's ``post``
    or a short update of state. The last message of each type is kept, so a
    snapshot such as the tree in force can be read without a round trip.
    """

    def __init__(self) -> None:
        self._handlers_by_type: defaultdict[type, list[Handler]] = defaultdict(list)
        self._latest_by_type: dict[type, Any] = {}
        self._peer_handlers_by_type: dict[type, PeerHandler] = {}

    def subscribe_peer(self, kind: type, handler: PeerHandler) -> None:
        """Receive the peers' messages with a body of this type.

        Each body type has one handler, so that each question has one answer.
        """
        if kind in self._peer_handlers_by_type:
            raise ValueError(f"{kind.__name__} has a handler already")
        self._peer_handlers_by_type[kind] = handler

    def publish_peer(self, message: PeerMessage) -> bool:
        """Hand over a peer's message; return whether anyone handles it."""
        handler = self._peer_handlers_by_type.get(type(message.body))
        if handler is None:
            return False
        handler(message)
        return True

    def subscribe(self, kind: type[M], handler: Callable[[M], None]) -> None:
        """Call the handler for each message of exactly this type."""
        self._handlers_by_type[kind].append(handler)

    def publish(self, message: object) -> None:
        """Hand a message to its subscribers, in the order they subscribed."""
        for handler in self._handlers_by_type[type(message)]:
            handler(message)

    def publish_state(self, message: object) -> None:
        """Publish a snapshot and keep it for ``latest``."""
        self._latest_by_type[type(message)] = message
        self.publish(message)

    def latest(self, kind: type[M]) -> M | None:
        """Return the last snapshot of this type, if there was one."""
        return self._latest_by_type.get(kind)


class Metrics:
    """Hold this instance's counters and histograms by name.

    Counter names are dotted, with the reason last, such as
    ``refused.queue_full``. Histograms are in microseconds. A gauge is read
    when somebody looks, and has a value for each of its labels.
    """

    def __init__(self) -> None:
        self.counters_by_name: Counter[str] = Counter()
        self.histograms_by_name: dict[str, HdrHistogram] = {}
        self.gauges_by_name: dict[str, Callable[[], Mapping[str, float]]] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.counters_by_name[name] += by

    def add_gauge(self, name: str, read: Callable[[], Mapping[str, float]]) -> None:
        """Add a gauge; ``read`` returns values by label, ``""`` for none."""
        self.gauges_by_name[name] = read

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        histogram = self.histograms_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)
            self.histograms_by_name[name] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))


class Actor:
    """Own a mailbox and handle one message after another in one task.

    A subclass implements ``handle``. A message whose handling raises is
    logged and counted; the actor goes on with the next one.
    """

    def __init__(self, instance: "Instance", name: str) -> None:
        self.instance = instance
        self.name = name
        self.mailbox: asyncio.Queue[Any] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None

    def post(self, message: object) -> None:
        """Put a message into the mailbox."""
        self.mailbox.put_nowait(message)

    async def start(self) -> None:
        """Start the task."""
        self._task = self.instance.spawn(self._run(), self.name)

    async def stop(self) -> None:
        """Cancel the task."""
        if self._task is not None:
            self._task.cancel()

    async def handle(self, message: Any) -> None:
        """Handle one message."""
        raise NotImplementedError

    async def _run(self) -> None:
        while True:
            message = await self.mailbox.get()
            try:
                await self.handle(message)
            except Exception as error:
                self.instance.metrics.count(f"actor_error.{self.name}")
                log_event("actor_error", actor=self.name, error=repr(error))


@dataclass
class Instance:
    """One running daemon: settings, bus, metrics, tasks and components."""

    settings: Settings
    clock: Callable[[], float] = read_clock
    bus: Bus = field(default_factory=Bus)
    metrics: Metrics = field(default_factory=Metrics)
    components_by_domain: dict[str, Component] = field(default_factory=dict)
    draining: bool = False
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    @property
    def id(self) -> str:
        """Return this instance's identity."""
        return self.settings.instance.id

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return self.clock()

    def spawn(
        self, work: Coroutine[Any, Any, M] | Awaitable[M], name: str
    ) -> asyncio.Task[M]:
        """Start a task that is kept until it ends and logged if it fails."""
        task: asyncio.Task[M] = asyncio.ensure_future(work)
        task.set_name(name)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)
        return task

    def _finish_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.metrics.count("task_error")
        log_event("task_error", task=task.get_name(), error=repr(task.exception()))

    def reload(self, settings: Settings) -> None:
        """Take new settings into use and tell the components of them.

        Identity, addresses and dialect stay as they were at the start.
        """
        self.settings = settings
        self.bus.publish(SettingsReloaded())

    async def start(self) -> None:
        """Import, set up and start every component in dependency order."""
        interface = self.settings.interface
        for domain in order_domains(select_manifests(read_manifests(), interface)):
            importlib.import_module(f"fescuekeel.components.{domain}")
            component = REGISTRY.setups_by_domain[domain](self)
            self.components_by_domain[domain] = component
        for domain, component in self.components_by_domain.items():
            await component.start()
            log_event("component_started", domain=domain)

    async def stop(self) -> None:
        """Stop every component, the last started first."""
        self.draining = True
        for domain in reversed(list(self.components_by_domain)):
            await self._stop_component(domain)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _stop_component(self, domain: str) -> None:
        # A component that hangs on a silent connection must not keep the
        # instance from leaving: the others still have work to hand over.
        bound_s = self.settings.instance.shutdown_s + STOP_MARGIN_S
        try:
            async with asyncio.timeout(bound_s):
                await self.components_by_domain[domain].stop()
        except TimeoutError:
            self.metrics.count("stop_timeout")
            log_event("stop_timeout", domain=domain)
