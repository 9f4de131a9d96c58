"""Account of the memory that weights occupy at an endpoint; pure."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fescuekeel.helpers.published import EngineSpec, ModelSpec, Weights

__all__ = ["WeightMemory"]


@dataclass(frozen=True, slots=True)
class WeightMemory:
    """The memory of an engine's endpoints, and what weights take of it, in MB.

    A capacity that is not known has no limit, and weights whose size is not
    known count nothing: the number of adapters bounds these.

    >>> model = ModelSpec("m", 1.0, size_mb=80.0, adapter_mb=8.0, adapters=9)
    >>> memory = WeightMemory(100.0, {"m": model})
    >>> memory.measure_mb([Weights("m"), Weights("m", "a1")])
    88.0
    >>> memory.can_ever_hold(Weights("m", "a1"))
    True
    """

    capacity_mb: float | None = None
    models_by_name: Mapping[str, ModelSpec] = field(default_factory=dict)

    @classmethod
    def of_engine(cls, engine: EngineSpec) -> "WeightMemory":
        """Return the memory of an engine's endpoints."""
        return cls(engine.memory_mb, engine.models_by_name)

    def measure_mb(self, weights: Iterable[Weights]) -> float:
        """Return what some weights occupy together."""
        return sum(map(self._get_size_mb, weights))

    def has_room_for(self, weights: Iterable[Weights]) -> bool:
        """Return whether an endpoint can hold all these weights at once."""
        return self.capacity_mb is None or self.measure_mb(weights) <= self.capacity_mb

    def can_ever_hold(self, weights: Weights) -> bool:
        """Return whether an endpoint that holds nothing else can hold them.

        An adapter needs its model beside it.
        """
        return self.has_room_for({Weights(weights.model), weights})

    def _get_size_mb(self, weights: Weights) -> float:
        model = self.models_by_name.get(weights.model)
        if model is None:
            return 0.0
        return (model.adapter_mb if weights.adapter else model.size_mb) or 0.0
