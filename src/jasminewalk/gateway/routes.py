"""Route lookup, and the choice of a service in a weighted traffic split."""

from collections.abc import Iterable

import attrs
import xxhash

from jasminewalk.platform.configuration import Route, ServingConfiguration

__all__ = ["RouteTable"]


@attrs.define
class RouteTable:
    """Looks up the routes of a configuration by host and longest path prefix.

    :param version: version of the configuration.
    :param routes_by_host: routes of each host, longest prefix first.
    """

    version: int
    routes_by_host: dict[str, list[Route]]

    @classmethod
    def from_configuration(cls, configuration: ServingConfiguration) -> "RouteTable":
        """Build the route table of a configuration.

        :param configuration: the configuration.
        """
        return cls(configuration.version, _group_by_host(configuration.routes))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if no route matches.

        :param host: host in lower case without the port.
        :param path: path without the query.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @staticmethod
    def choose_service(route: Route, request_id: str) -> str:
        """Choose the service of a request by the weights of its route.

        The choice depends only on the id of the request, so that everything that
        belongs to one request goes to the same service.

        :param route: route of the request.
        :param request_id: id of the request.
        """
        if len(route.split) == 1:
            return route.split[0].service
        total = sum(weighted.weight for weighted in route.split)
        point = xxhash.xxh32_intdigest(request_id.encode()) / 2**32 * total
        for weighted in route.split:
            point -= weighted.weight
            if point < 0:
                return weighted.service
        return route.split[-1].service


def _group_by_host(routes: Iterable[Route]) -> dict[str, list[Route]]:
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    for host_routes in grouped.values():
        host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
    return grouped
