"""Announcements of the endpoints that instances cannot reach; pure."""

from dataclasses import dataclass, field

from fescuekeel.components.relay.const import MAX_NAMES, MAX_UNREACHABLE_FACTS

__all__ = ["Unreachable", "UnreachableEndpoints"]

ALL = "*"
SEPARATOR = ","


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The endpoints that an instance cannot reach, though peers can.

    ``names`` are those of the endpoints, and ``is_all`` says that it reaches
    none.

    >>> Unreachable(names=frozenset({"e2", "e1"})).format()
    b'e1,e2'
    >>> Unreachable.parse(b"e1,e2").covers("e2")
    True
    >>> Unreachable(is_all=True).format(), Unreachable().format()
    (b'*', b'')
    """

    is_all: bool = False
    names: frozenset[str] = frozenset()

    def format(self) -> bytes:
        """Return the wire format; long lists are cut."""
        if self.is_all:
            return ALL.encode()
        return SEPARATOR.join(sorted(self.names)[:MAX_NAMES]).encode()

    @classmethod
    def parse(cls, payload: bytes) -> "Unreachable":
        """Parse the wire format; raises ``ValueError`` on other text."""
        text = payload.decode()
        if text == ALL:
            return cls(is_all=True)
        return cls(names=frozenset(filter(None, text.split(SEPARATOR))))

    def covers(self, name: str) -> bool:
        """Return whether an endpoint is among them."""
        return self.is_all or name in self.names


@dataclass(slots=True)
class UnreachableEndpoints:
    """What each instance cannot reach; ``version`` grows with each change.

    >>> table = UnreachableEndpoints()
    >>> table.apply("i1", Unreachable(is_all=True))
    True
    >>> table.list_cut_off(), table.list_without("e1"), table.version
    ({'i1'}, {'i1'}, 1)
    """

    version: int = 0
    _unreachable_by_instance: dict[str, Unreachable] = field(default_factory=dict)

    def get(self, instance_id: str) -> Unreachable:
        """Return what an instance cannot reach."""
        return self._unreachable_by_instance.get(instance_id, Unreachable())

    def apply(self, instance_id: str, unreachable: Unreachable) -> bool:
        """Set what an instance cannot reach; return whether it changes."""
        if self.get(instance_id) == unreachable:
            return False
        self.version += 1
        known = self._unreachable_by_instance
        if unreachable == Unreachable():
            del known[instance_id]
            return True
        if instance_id not in known and len(known) >= MAX_UNREACHABLE_FACTS:
            del known[next(iter(known))]
        known[instance_id] = unreachable
        return True

    def list_names(self) -> dict[str, frozenset[str]]:
        """Return the endpoints by the instances that cannot reach them."""
        return {id: item.names for id, item in self._unreachable_by_instance.items()}

    def list_cut_off(self) -> set[str]:
        """Return the instances that reach no endpoint."""
        return {id for id, item in self._unreachable_by_instance.items() if item.is_all}

    def list_without(self, name: str) -> set[str]:
        """Return the instances that cannot reach an endpoint."""
        return {
            id
            for id, item in self._unreachable_by_instance.items()
            if item.covers(name)
        }
