"""Choice of the route of a request and of the service behind it."""

from collections.abc import Iterable

import attrs
import xxhash

from jasminewalk.platform.configuration import Route, ServingConfiguration

__all__ = ["RouteTable"]


@attrs.define
class RouteTable:
    """Routes of one configuration, found by host and longest path prefix.

    :param version: version of the configuration.
    :param routes_by_host: routes of each host, longest prefix first.
    """

    version: int
    routes_by_host: dict[str, list[Route]]

    @classmethod
    def from_configuration(cls, configuration: ServingConfiguration) -> "RouteTable":
        """Build the table of a configuration.

        :param configuration: the configuration.
        """
        return cls(configuration.version, _group_by_host(configuration.routes))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None.

        :param host: host in lower case without a port.
        :param path: path without the query.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @staticmethod
    def choose_service(route: Route, request_id: str) -> str:
        """Return the service that a request goes to.

        The choice depends on the request's id alone, so that each part of a request
        goes to the same service.

        :param route: the request's route.
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
