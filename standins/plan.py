"""The mixed sample load of one deployment, drawn from its tree."""

import random
from collections.abc import Iterator
from itertools import accumulate

from fescuekeel.components.tree.model import Policy, PoolKind
from standins.load import SampleRequest
from standins.trees import Tree, find_token

__all__ = ["make_plan"]

# The sample's adapters: few enough that the weight store can follow.
ADAPTERS_PER_SERVICE = 10
ZIPF_EXPONENT = 0.9
TIMEOUT_MARGIN_S = 10.0
STREAMED_SHARE = 0.5
VERSION_LEFT_OUT_SHARE = 0.1
READ_SHARE = 0.5
SENT_TWICE_SHARE = 0.2
FEWEST_TOKENS = 4
MOST_TOKENS = 32


class PlanMaker:
    """Draw requests for the services of a tree, in turn."""

    def __init__(self, deployment: str, tree: Tree, tokens: str, seed: int) -> None:
        self.deployment = deployment
        self.tree = tree
        self.random = random.Random(f"{deployment} {seed}")
        self.tokens_by_shop: dict[str, str] = {}
        for path in tree.intent.service_paths:
            shop = path.partition("/")[0]
            token = find_token(tree, shop, tokens)
            if token is None:
                raise ValueError(f"no token of shop {shop} is known")
            self.tokens_by_shop[shop] = token
        self.adapters_by_path = {
            path: self._choose_adapters(path) for path in tree.intent.service_paths
        }

    def make(self, count: int, per_s: float) -> Iterator[SampleRequest]:
        """Yield requests, some of them twice with the same key."""
        paths = self.tree.intent.service_paths
        for number in range(count):
            request = self._draw(paths[number % len(paths)], number, number / per_s)
            yield request
            twice = self.random.random() < SENT_TWICE_SHARE
            if request.key and twice:
                yield request

    def _choose_adapters(self, path: str) -> list[str]:
        names = self.tree.adapters(path)
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
        if self.random.random() < VERSION_LEFT_OUT_SHARE:
            model = f"{service}/{name}"
        marker = self._mark(number)
        most = min(MOST_TOKENS, policy.max_tokens or MOST_TOKENS)
        return SampleRequest(
            marker=marker,
            shop=shop,
            service=service,
            token=self.tokens_by_shop[shop],
            due_s=due_s,
            timeout_s=policy.answer_s + TIMEOUT_MARGIN_S,
            repeatable=policy.repeatable,
            model=model,
            runs_on=str(policy.adapter),
            prompt=f"{marker} for {name}",
            max_tokens=self.random.randint(min(FEWEST_TOKENS, most), most),
            stream=self.random.random() < STREAMED_SHARE,
            key=self._choose_key(policy, marker),
        )

    def _draw_plain(self, path: str, number: int, due_s: float) -> SampleRequest:
        shop, _, service = path.partition("/")
        policy = self.tree.intent.resolve(shop, service, "", "").unwrap()
        marker = self._mark(number)
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

    def _mark(self, number: int) -> str:
        return f"sample-{self.deployment}-{number:04}"


def make_plan(
    deployment: str, tree: Tree, tokens: str, count: int, per_s: float, seed: int = 1
) -> list[SampleRequest]:
    """Return the load of one deployment; the same seed gives the same load."""
    return list(PlanMaker(deployment, tree, tokens, seed).make(count, per_s))


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
