"""The core: message bus, actors, component registry and the instance."""

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

from fescuekeel.helpers.client_resources import ClientResources
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.settings import Settings
from fescuekeel.helpers.work_failures import WorkFailures, compute_restart_pause_s
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
EndReporter = Callable[[str], None]
MIN_DURATION_US = 1
MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_FIGURES = 2
# Added to shutdown_s as the limit for stopping one component.
STOP_MARGIN_S = 5.0


def read_clock() -> float:
    """Return monotonic time in seconds, including time spent suspended.

    CLOCK_MONOTONIC stops while the machine is suspended: a lease checked
    against it would seem valid after resume although another instance has
    taken it over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Component(Protocol):
    """Interface that every component implements."""

    async def start(self) -> None:
        """Start the component; return when it is ready for use."""

    async def stop(self) -> None:
        """Finish work in progress and release all sockets and tasks."""


Setup = Callable[["Instance"], Component]


@dataclass(frozen=True, slots=True)
class Manifest:
    """The contents of a component's ``manifest.json``.

    ``interface`` names the only interface that uses the component; empty if
    all do. Dependencies that the instance's interface excludes are ignored.
    """

    domain: str
    dependencies: tuple[str, ...]
    requirements: tuple[str, ...]
    interface: str = ""


class Registry:
    """Setup functions of the components, by domain.

    A component registers itself when its package is imported::

        REGISTRY.register(DOMAIN, setup)
    """

    def __init__(self) -> None:
        self.setups_by_domain: dict[str, Setup] = {}

    def register(self, domain: str, setup: Setup) -> None:
        """Register a component; raise if its domain is already registered."""
        if domain in self.setups_by_domain:
            raise ValueError(f"component {domain!r} is already registered")
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
    """Return the manifests of the components that an interface uses.

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
    """Return the domains in dependency order, dependencies first.

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
            raise ValueError(
                f"component {domain!r} depends on itself, directly or indirectly"
            )
        visiting.add(domain)
        for dependency in manifests_by_domain[domain].dependencies:
            if dependency in manifests_by_domain:
                visit(dependency)
        ordered.append(domain)

    for domain in sorted(manifests_by_domain):
        visit(domain)
    return ordered


class Bus:
    """In-process publish/subscribe between the components of an instance.

    Handlers run synchronously and must not block: an actor's ``post`` or a
    short state update. Messages sent with ``publish_state`` are retained, so
    a snapshot such as the current tree can be read at any time.
    """

    def __init__(self) -> None:
        self._handlers_by_type: defaultdict[type, list[Handler]] = defaultdict(list)
        self._latest_by_type: dict[type, Any] = {}
        self._peer_handlers_by_type: dict[type, PeerHandler] = {}
        self.handler_errors = 0

    def subscribe_peer(self, body_type: type, handler: PeerHandler) -> None:
        """Register the handler for peer messages with this type of body.

        Each body type has exactly one, so that a request gets one response.
        """
        if body_type in self._peer_handlers_by_type:
            raise ValueError(f"{body_type.__name__} already has a handler")
        self._peer_handlers_by_type[body_type] = handler

    def publish_peer(self, message: PeerMessage) -> bool:
        """Dispatch a peer's message; return whether it has a handler."""
        handler = self._peer_handlers_by_type.get(type(message.body))
        if handler is None:
            return False
        handler(message)
        return True

    def subscribe(self, message_type: type[M], handler: Callable[[M], None]) -> None:
        """Call the handler for each message of this type, not a subclass."""
        self._handlers_by_type[message_type].append(handler)

    def publish(self, message: object) -> None:
        """Call the subscribers of the message's type in subscription order.

        One that fails keeps the message neither from the others nor from the
        work of whoever publishes it.
        """
        for handler in self._handlers_by_type[type(message)]:
            try:
                handler(message)
            except Exception as error:
                self.handler_errors += 1
                name = getattr(handler, "__qualname__", repr(handler))
                log_event(
                    "handler_error",
                    kind=type(message).__name__,
                    handler=name,
                    error=repr(error),
                )

    def publish_state(self, message: object) -> None:
        """Publish a snapshot and retain it for ``latest``."""
        self._latest_by_type[type(message)] = message
        self.publish(message)

    def latest(self, message_type: type[M]) -> M | None:
        """Return the retained snapshot of this type, if any."""
        return self._latest_by_type.get(message_type)


class Metrics:
    """Counters, histograms and gauges of an instance, by name.

    Counter names are dotted, with the reason last, such as
    ``refused.queue_full``. Histograms are in microseconds. Gauges are read on
    each scrape and have a value for each label.
    """

    def __init__(self) -> None:
        self.counters_by_name: Counter[str] = Counter()
        self.histograms_by_name: dict[str, HdrHistogram] = {}
        self.gauges_by_name: dict[str, Callable[[], Mapping[str, float]]] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Increment a counter."""
        self.counters_by_name[name] += by

    def add_gauge(self, name: str, read: Callable[[], Mapping[str, float]]) -> None:
        """Add a gauge; ``read`` returns values by label, ``""`` for none."""
        self.gauges_by_name[name] = read

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        histogram = self.histograms_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_FIGURES
            )
            self.histograms_by_name[name] = histogram
        histogram.record_value(max(MIN_DURATION_US, int(seconds * 1e6)))


class Actor:
    """Process messages from a mailbox sequentially in one task.

    Subclasses implement ``handle``. An exception raised by it is logged and
    counted, and the actor continues with the next message.
    """

    def __init__(self, instance: "Instance", name: str) -> None:
        self.instance = instance
        self.name = name
        self.mailbox: asyncio.Queue[Any] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None

    def post(self, message: object) -> None:
        """Enqueue a message without waiting."""
        self.mailbox.put_nowait(message)

    async def start(self) -> None:
        """Start processing messages."""
        self._task = self.instance.keep_running(self._run, self.name)

    async def stop(self) -> None:
        """Cancel the task without waiting for it to end."""
        if self._task is not None:
            self._task.cancel()

    async def handle(self, message: Any) -> None:
        """Process one message."""
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
    """A running daemon: settings, bus, metrics, tasks and components.

    ``loop_lag_s`` is how long the event loop last took for an iteration while
    connections came, which timeouts have to allow for. ``end_reporters`` log
    the work that is lost if the process ends now; they get the reason.
    """

    settings: Settings
    clock: Callable[[], float] = read_clock
    bus: Bus = field(default_factory=Bus)
    metrics: Metrics = field(default_factory=Metrics)
    components_by_domain: dict[str, Component] = field(default_factory=dict)
    draining: bool = False
    stop_requested_at: float | None = None
    end_reporters: list[EndReporter] = field(default_factory=list)
    loop_lag_s: float = 0.0
    client_resources: ClientResources = field(init=False)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _failures: WorkFailures = field(default_factory=WorkFailures)

    def __post_init__(self) -> None:
        """Make the account of what clients hold."""
        self.client_resources = ClientResources(
            self.settings.resources, self.now, self.metrics.count
        )

    @property
    def id(self) -> str:
        """Return the instance's id from the settings."""
        return self.settings.instance.id

    def now(self) -> float:
        """Return the time in seconds of the instance's monotonic clock."""
        return self.clock()

    def spawn(
        self, awaitable: Coroutine[Any, Any, M] | Awaitable[M], name: str
    ) -> asyncio.Task[M]:
        """Start a background task; a failure is counted and logged."""
        task: asyncio.Task[M] = asyncio.ensure_future(awaitable)
        task.set_name(name)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)
        return task

    def keep_running(
        self,
        make_work: Callable[[], Coroutine[Any, Any, None]],
        name: str,
        is_local: bool = False,
    ) -> asyncio.Task[None]:
        """Start work that is begun again after each failure.

        All work that has no end of its own is started here. The instance is
        not ready while it fails repeatedly, unless it ``is_local``: the work
        for one endpoint, whose faults must not take an instance from callers.
        """
        return self.spawn(self._repeat(make_work, name, is_local), name)

    async def _repeat(
        self,
        make_work: Callable[[], Coroutine[Any, Any, None]],
        name: str,
        is_local: bool,
    ) -> None:
        while True:
            began_at = self.now()
            try:
                await make_work()
                return
            except asyncio.CancelledError as error:
                if _is_being_cancelled():
                    raise
                # Something else that the work awaited was cancelled.
                failure = repr(error)
            except Exception as error:
                failure = repr(error)
            failures = self._record_failure(name, began_at, failure, is_local)
            await asyncio.sleep(compute_restart_pause_s(failures))

    def _record_failure(
        self, name: str, began_at: float, error: str, is_local: bool
    ) -> int:
        """Record that work has failed; return how often it did in a row."""
        now = self.now()
        failures = self._failures.record(name, now - began_at, now, is_local)
        self.metrics.count("task_error")
        log_event(
            "task_restarted",
            task=name,
            error=error,
            lasted_ms=round((now - began_at) * 1000),
            failures=failures,
        )
        return failures

    @property
    def is_failing(self) -> bool:
        """Return whether work that all requests rely on fails repeatedly."""
        return self._failures.is_failing(self.now())

    def _finish_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.metrics.count("task_error")
        log_event("task_error", task=task.get_name(), error=repr(task.exception()))

    def reload(self, settings: Settings) -> None:
        """Apply new settings and notify the components.

        Changes to id, addresses and dialect only take effect on a restart.
        """
        self.settings = settings
        self.client_resources.configure(settings.resources)
        self.bus.publish(SettingsReloaded())

    async def start(self) -> None:
        """Import, set up and start the components in dependency order."""
        interface = self.settings.interface
        for domain in order_domains(select_manifests(read_manifests(), interface)):
            importlib.import_module(f"fescuekeel.components.{domain}")
            component = REGISTRY.setups_by_domain[domain](self)
            self.components_by_domain[domain] = component
        for domain, component in self.components_by_domain.items():
            await component.start()
            log_event("component_started", domain=domain)

    async def stop(self) -> None:
        """Stop the components in reverse order, then cancel all tasks."""
        self.draining = True
        self.record_stop_requested()
        for domain in reversed(list(self.components_by_domain)):
            await self._stop_component(domain)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def record_stop_requested(self) -> None:
        """Record the time of the first request to stop."""
        if self.stop_requested_at is None:
            self.stop_requested_at = self.now()

    @property
    def since_stop_requested_s(self) -> float:
        """Return for how long the instance is to stop, zero if it is not."""
        if self.stop_requested_at is None:
            return 0.0
        return self.now() - self.stop_requested_at

    async def _stop_component(self, domain: str) -> None:
        # A component that hangs on an unresponsive connection, or fails, must
        # not block the shutdown: the others still have work to hand over.
        timeout_s = self.settings.instance.shutdown_s + STOP_MARGIN_S
        began_at = self.now()
        outcome = "stopped"
        try:
            async with asyncio.timeout(timeout_s):
                await self.components_by_domain[domain].stop()
        except TimeoutError:
            outcome = "timeout"
            self.metrics.count("stop_timeout")
            log_event("stop_timeout", domain=domain)
        except Exception as error:
            outcome = "failed"
            self.metrics.count("stop_error")
            log_event("stop_error", domain=domain, error=repr(error))
        log_event(
            "component_stopped",
            domain=domain,
            took_ms=round((self.now() - began_at) * 1000),
            since_signal_ms=round(self.since_stop_requested_s * 1000),
            outcome=outcome,
        )


def _is_being_cancelled() -> bool:
    """Return whether the current task itself is being cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
