"""The compact model of one revision of the tree."""

import hashlib
from collections.abc import Iterable, Mapping
from heapq import merge
from itertools import pairwise
from typing import TypeVar

from returns.result import Failure as Err, Result, Success

from fescuekeel.components.tree.const import CONF_TOKEN_SHA256
from fescuekeel.components.tree.levels import DEFAULT_LEVEL, Level, override
from fescuekeel.components.tree.model import Policy, Pool, PoolKind
from fescuekeel.components.tree.pacing import pace
from fescuekeel.components.tree.parts import TreePartModel, describe_location
from fescuekeel.components.tree.roster import Roster
from fescuekeel.components.tree.sections import Overrides
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.messages import AdapterRef

__all__ = ["CompactIntent", "build_intent"]

V = TypeVar("V")


class _TreeError(Exception):
    """The parts form no valid tree; the message is for the operator."""


class CompactIntent:
    """Implement ``Intent``, with inherited values stored once per service.

    An adapter without overrides takes only its line in the roster.
    """

    def __init__(
        self,
        revision: int,
        pools_by_name: dict[str, Pool],
        shops_by_token: dict[str, str],
        levels_by_path: dict[str, Level],
        overrides_by_path: dict[str, Overrides],
        rosters_by_path: dict[str, tuple[Roster, ...]],
    ) -> None:
        self._revision = revision
        self._pools_by_name = pools_by_name
        self._shops_by_token = shops_by_token
        self._levels_by_path = levels_by_path
        self._overrides_by_path = overrides_by_path
        self._rosters_by_path = rosters_by_path

    @property
    def revision(self) -> int:
        """Return the revision."""
        return self._revision

    @property
    def pools_by_name(self) -> dict[str, Pool]:
        """Return all pools."""
        return self._pools_by_name

    @property
    def service_paths(self) -> tuple[str, ...]:
        """Return each service as ``SHOP/SERVICE``."""
        return tuple(self._levels_by_path)

    def count_adapters(self, path: str) -> int:
        """Return the number of adapters of a service."""
        return sum(map(len, self._rosters_by_path.get(path, ())))

    def authenticate(self, token: str) -> str | None:
        """Return the shop that a token belongs to.

        The lookup is by hash, so that its timing reveals nothing of a token.
        """
        return self._shops_by_token.get(hashlib.sha256(token.encode()).hexdigest())

    def resolve(
        self, shop: str, service: str, adapter: str, version: str
    ) -> Result[Policy, Failure]:
        """Return the policy for a request; see ``Intent.resolve``."""
        path = f"{shop}/{service}"
        level = self._levels_by_path.get(path)
        if level is None:
            return Err(Failure(ErrorKind.UNKNOWN_SERVICE, path))
        if not adapter and not version:
            return self._resolve_plain(path, level)
        versions = self._find_versions(path, adapter)
        if versions is None:
            return Err(Failure(ErrorKind.UNKNOWN_ADAPTER, f"{path}/{adapter}"))
        if version and version not in versions:
            detail = f"{path}/{adapter}@{version}"
            return Err(Failure(ErrorKind.UNKNOWN_VERSION, detail))
        own_path = f"{path}/{adapter}"
        if own_path in self._overrides_by_path:
            level = override(level, self._overrides_by_path[own_path], own_path)
        return Success(self._make_policy(path, level, adapter, version or versions[0]))

    def _resolve_plain(self, path: str, level: Level) -> Result[Policy, Failure]:
        if self._pools_by_name[level.pool].kind != PoolKind.PLAIN:
            detail = f"{path} needs an adapter"
            return Err(Failure(ErrorKind.UNKNOWN_ADAPTER, detail))
        return Success(self._make_policy(path, level, "", ""))

    def _find_versions(self, path: str, adapter: str) -> tuple[str, ...] | None:
        for roster in self._rosters_by_path.get(path, ()):
            versions = roster.find(adapter)
            if versions is not None:
                return versions
        return None

    def _make_policy(
        self, path: str, level: Level, adapter: str, version: str
    ) -> Policy:
        shop, _, service = path.partition("/")
        return Policy(
            shop=shop,
            service=service,
            pool=self._pools_by_name[level.pool],
            urgency=level.urgency,
            answer_s=level.answer_s,
            repeatable=level.repeatable,
            stall_weight=level.stall_weight,
            batch_weight=level.batch_weight,
            max_in_flight=level.max_in_flight,
            rate_per_s=level.rate_per_s,
            retry_share=level.retry_share,
            max_tokens=level.max_tokens,
            adapter=AdapterRef(adapter, version),
            limits=level.limits,
        )


def build_intent(
    revision: int, parts: Iterable[TreePartModel]
) -> Result[CompactIntent, Failure]:
    """Join validated parts and check the references between them.

    >>> build_intent(1, []).unwrap().revision
    1
    """
    try:
        return Success(_Builder(list(parts)).build(revision))
    except _TreeError as error:
        return Err(Failure(ErrorKind.INVALID_TREE, str(error)))


class _Builder:
    """Join parts and record which part defines each section."""

    def __init__(self, parts: list[TreePartModel]) -> None:
        self._parts = parts
        self._part_by_section: dict[str, str] = {}

    def build(self, revision: int) -> CompactIntent:
        """Check and join the parts; raises ``_TreeError``."""
        pools = {
            name: Pool(name=name, **section.model_dump())
            for part in self._parts
            for name, section in self._register_sections(
                part, "pool", part.pools_by_name
            )
        }
        shops_by_token, shop_levels = self._join_shops()
        levels = self._join_services(shop_levels, pools)
        rosters = self._join_rosters(levels, pools)
        overrides = self._join_adapters(levels, pools, rosters)
        return CompactIntent(
            revision, pools, shops_by_token, levels, overrides, rosters
        )

    def _register_sections(
        self, part: TreePartModel, kind: str, sections: Mapping[str, V]
    ) -> Iterable[tuple[str, V]]:
        for path, section in sections.items():
            other = self._part_by_section.setdefault(f"{kind} {path}", part.name)
            if other != part.name:
                location = describe_location(part.name, f"{kind} {path}")
                raise _TreeError(f"{location}: also defined in part {other}")
            yield path, section

    def _make_error(self, section: str, key: str, text: str) -> _TreeError:
        location = describe_location(self._part_by_section[section], section, key)
        return _TreeError(f"{location}: {text}")

    def _join_shops(self) -> tuple[dict[str, str], dict[str, Level]]:
        shops_by_token: dict[str, str] = {}
        levels: dict[str, Level] = {}
        for part in self._parts:
            for shop, section in self._register_sections(
                part, "shop", part.shops_by_name
            ):
                levels[shop] = override(DEFAULT_LEVEL, section, shop)
                for token in section.token_sha256:
                    if shops_by_token.setdefault(token, shop) != shop:
                        text = "another shop has the same token"
                        raise self._make_error(f"shop {shop}", CONF_TOKEN_SHA256, text)
        return shops_by_token, levels

    def _join_services(
        self, shop_levels: dict[str, Level], pools: dict[str, Pool]
    ) -> dict[str, Level]:
        levels: dict[str, Level] = {}
        for part in self._parts:
            for path, section in self._register_sections(
                part, "service", part.services_by_path
            ):
                shop = path.partition("/")[0]
                if shop not in shop_levels:
                    raise self._make_error(
                        f"service {path}", "", f"no section [shop {shop}]"
                    )
                level = override(shop_levels[shop], section, path)
                self._check_pool(f"service {path}", level, pools)
                levels[path] = level
        return levels

    def _check_pool(self, section: str, level: Level, pools: dict[str, Pool]) -> None:
        if not level.pool:
            raise self._make_error(section, "pool", "neither set nor inherited")
        if level.pool not in pools:
            raise self._make_error(section, "pool", f"no section [pool {level.pool}]")

    def _join_rosters(
        self, levels: dict[str, Level], pools: dict[str, Pool]
    ) -> dict[str, tuple[Roster, ...]]:
        rosters: dict[str, tuple[Roster, ...]] = {}
        for part in self._parts:
            # A roster may span parts, since the size of a part is limited.
            for path, roster in part.rosters_by_path.items():
                section = f"roster {path}"
                self._part_by_section[section] = part.name
                if path not in levels:
                    raise self._make_error(section, "", f"no section [service {path}]")
                if pools[levels[path].pool].kind != PoolKind.ENGINE:
                    raise self._make_error(
                        section, "", "the service's pool is plain, not an engine pool"
                    )
                rosters[path] = (*rosters.get(path, ()), roster)
        for path, pieces in rosters.items():
            self._check_distinct(f"roster {path}", pieces)
        return rosters

    def _check_distinct(self, section: str, pieces: tuple[Roster, ...]) -> None:
        if len(pieces) < 2:
            return
        for previous, current in pairwise(pace(merge(*pieces))):
            if previous == current:
                raise self._make_error(
                    section, "names", f"adapter {previous!r} is listed twice"
                )

    def _join_adapters(
        self,
        levels: dict[str, Level],
        pools: dict[str, Pool],
        rosters: dict[str, tuple[Roster, ...]],
    ) -> dict[str, Overrides]:
        overrides: dict[str, Overrides] = {}
        for part in self._parts:
            for path, section in self._register_sections(
                part, "adapter", part.adapters_by_path
            ):
                service, _, adapter = path.rpartition("/")
                pieces = rosters.get(service, ())
                if not any(roster.find(adapter) for roster in pieces):
                    text = f"not listed in [roster {service}]"
                    raise self._make_error(f"adapter {path}", "", text)
                level = override(levels[service], section, path)
                self._check_pool(f"adapter {path}", level, pools)
                if pools[level.pool].kind != PoolKind.ENGINE:
                    raise self._make_error(
                        f"adapter {path}",
                        "pool",
                        "the pool is plain, not an engine pool",
                    )
                overrides[path] = section
        return overrides
