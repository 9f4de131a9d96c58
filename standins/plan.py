"""Sample load of a deployment, generated from its tree."""

import random
from collections.abc import Iterator
from itertools import accumulate

from fescuekeel.components.tree.model import Policy, PoolKind
from standins.load import SampleRequest
from standins.trees import Tree, find_token

__all__ = ["make_plan"]

# Limits the loads to what the weight store can serve.
ADAPTERS_PER_SERVICE = 10
ZIPF_EXPONENT = 0.9
TIMEOUT_MARGIN_S = 10.0
STREAMED_SHARE = 0.5
UNVERSIONED_SHARE = 0.1
READ_SHARE = 0.5
DUPLICATE_SHARE = 0.2
MIN_TOKENS = 4
MAX_TOKENS = 32


class PlanMaker:
    """Generate requests for the services of a tree in turn."""

    def __init__(
        self, deployment: str, tree: Tree, tokens_text: str, seed: int
    ) -> None:
        self.deployment = deployment
        self.tree = tree
        self.random = random.Random(f"{deployment} {seed}")
        self.tokens_by_shop: dict[str, str] = {}
        for path in tree.intent.service_paths:
            shop = path.partition("/")[0]
            token = find_token(tree, shop, tokens_text)
            if token is None:
                raise ValueError(f"no token of shop {shop} found in the given text")
            self.tokens_by_shop[shop] = token
        self.adapters_by_path = {
            path: self._choose_adapters(path) for path in tree.intent.service_paths
        }

    def make(self, count: int, per_s: float) -> Iterator[SampleRequest]:
        """Yield requests, some of them twice with the same idempotency key."""
        paths = self.tree.intent.service_paths
        for number in range(count):
            request = self._draw(paths[number % len(paths)], number, number / per_s)
            yield request
            is_duplicate = self.random.random() < DUPLICATE_SHARE
            if request.key and is_duplicate:
                yield request

    def _choose_adapters(self, path: str) -> list[str]:
        names = self.tree.list_adapters(path)
        return self.random.sample(names, min(len(names), ADAPTERS_PER_SERVICE))

    def _draw(self, path: str, number: int, due_s: float) -> SampleRequest:
        names = self.adapters_by_path[path]
        if not names:
            return self._draw_plain(path, number, due_s)
        weights = [(rank + 1) ** -ZIPF_EXPONENT for rank in range(len(names))]
        name = self.random.choices(names, cum_weights=list(accumulate(weights)))[0]
        shop, _, service = path.partition("/")
        policy = self.tree.intent.resolve(shop, service, name, "").unwrap()
        model = f"{service}/{policy.adapter}"
        if self.random.random() < UNVERSIONED_SHARE:
            model = f"{service}/{name}"
        marker = self._make_marker(number)
        max_tokens = min(MAX_TOKENS, policy.max_tokens or MAX_TOKENS)
        return SampleRequest(
            marker=marker,
            shop=shop,
            service=service,
            token=self.tokens_by_shop[shop],
            due_s=due_s,
            timeout_s=policy.answer_s + TIMEOUT_MARGIN_S,
            repeatable=policy.repeatable,
            model=model,
            served_by=str(policy.adapter),
            prompt=f"{marker} for {name}",
            max_tokens=self.random.randint(min(MIN_TOKENS, max_tokens), max_tokens),
            stream=self.random.random() < STREAMED_SHARE,
            key=self._choose_key(policy, marker),
        )

    def _draw_plain(self, path: str, number: int, due_s: float) -> SampleRequest:
        shop, _, service = path.partition("/")
        policy = self.tree.intent.resolve(shop, service, "", "").unwrap()
        marker = self._make_marker(number)
        reads = policy.repeatable and self.random.random() < READ_SHARE
        return SampleRequest(
            marker=marker,
            shop=shop,
            service=service,
            token=self.tokens_by_shop[shop],
            due_s=due_s,
            timeout_s=policy.answer_s + TIMEOUT_MARGIN_S,
            repeatable=policy.repeatable,
            method="GET" if reads else "POST",
            path=f"/services/{service}/items?marker={marker}",
            key=self._choose_key(policy, marker),
        )

    def _choose_key(self, policy: Policy, marker: str) -> str:
        if policy.repeatable or self.random.random() < 0.5:
            return ""
        return f"key-{marker}"

    def _make_marker(self, number: int) -> str:
        return f"sample-{self.deployment}-{number:04}"


def make_plan(
    deployment: str,
    tree: Tree,
    tokens_text: str,
    count: int,
    per_s: float,
    seed: int = 1,
) -> list[SampleRequest]:
    """Return the load of a deployment, deterministic for a seed."""
    return list(PlanMaker(deployment, tree, tokens_text, seed).make(count, per_s))


def find_plain_service(tree: Tree) -> str | None:
    """Return a repeatable plain service as ``SHOP/SERVICE``."""
    for path in tree.intent.service_paths:
        shop, _, service = path.partition("/")
        policy = tree.intent.resolve(shop, service, "", "").value_or(None)
        if policy is None or not policy.repeatable:
            continue
        if policy.pool.kind is PoolKind.PLAIN:
            return path
    return None
