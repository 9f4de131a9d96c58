"""Match requests to routes and services of the configuration."""

from collections import defaultdict

import xxhash

from fescuekeel.helpers.published import Configuration, Route

__all__ = ["RouteTable", "choose_service"]

HASH_RANGE = 2**32


class RouteTable:
    """Index the routes of a configuration by host, longest prefix first."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.version = configuration.version
        self._routes_by_host: dict[str, list[Route]] = defaultdict(list)
        for route in configuration.routes:
            self._routes_by_host[route.host].append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for route in self._routes_by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(route: Route, request_id: str) -> str:
    """Return a service of the route, by weight and hash of the request id."""
    total = sum(target.weight for target in route.targets)
    if len(route.targets) == 1 or total <= 0:
        return route.targets[0].service
    point = xxhash.xxh32_intdigest(request_id.encode()) / HASH_RANGE * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service
