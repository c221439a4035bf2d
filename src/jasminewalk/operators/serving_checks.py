"""Check a serving configuration before it is sent, and compare it with another one.

Nothing here reads or sends anything; ``file_checks`` reads the files.
"""

from collections.abc import Iterator

import attrs

from jasminewalk.gateway.routes import RouteTable
from jasminewalk.platform.configuration import Route, ServingConfiguration

__all__ = ["ServingProblem", "describe_changes", "find_problems"]

# Characters of a key's digest that are shown.
SHOWN_DIGEST_LENGTH = 8


@attrs.frozen
class ServingProblem:
    """A mistake in a configuration.

    :param path: entry that has it.
    :param reason: what is wrong, and what to do.
    :param is_error: whether requests are refused or lost by it; otherwise the entry has
        no effect, or perhaps not the intended one.
    """

    path: str
    reason: str
    is_error: bool

    def __str__(self) -> str:
        return f"{'error' if self.is_error else 'warning'} {self.path}: {self.reason}"


def find_problems(configuration: ServingConfiguration) -> list[ServingProblem]:
    """Return what is wrong with a configuration, in the order of its entries.

    :param configuration: the configuration.
    """
    return [
        *_check_routes(configuration),
        *_check_services(configuration),
        *_check_limits(configuration),
        *_check_organisations(configuration),
    ]


def _check_routes(configuration: ServingConfiguration) -> Iterator[ServingProblem]:
    first_by_match: dict[tuple[str, str], int] = {}
    first_by_name: dict[str, int] = {}
    for number, route in enumerate(configuration.routes):
        path = f"routes[{number}] {route.name!r}"
        match = route.host, route.path_prefix
        first = first_by_match.setdefault(match, number)
        if first != number:
            reason = f"can never match, as routes[{first}] has its host and prefix"
            yield ServingProblem(path, f"{reason}; remove one", False)
        if route.name and first_by_name.setdefault(route.name, number) != number:
            reason = f"has the name of routes[{first_by_name[route.name]}]"
            yield ServingProblem(path, f"{reason}; rename one", False)
        if not route.path_prefix.startswith("/"):
            reason = f"can never match, as prefix {route.path_prefix!r} has no /"
            yield ServingProblem(path, f"{reason} at its start; add it", True)
        if not route.host or ":" in route.host:
            reason = f"can never match, as host {route.host!r} is empty or has a port"
            yield ServingProblem(path, f"{reason}; name the host alone", True)
        yield from _check_split(path, route, configuration)
        yield from _check_times(path, route)


def _check_split(
    path: str, route: Route, configuration: ServingConfiguration
) -> Iterator[ServingProblem]:
    for weighted in route.split:
        if weighted.service not in configuration.services:
            reason = f"service {weighted.service!r} is not among the services; add it"
            yield ServingProblem(path, reason, True)
        if not weighted.weight >= 0:
            reason = f"weight {weighted.weight:g} of {weighted.service!r} is negative"
            yield ServingProblem(path, f"{reason}; use 0 or more", True)
    if not sum(weighted.weight for weighted in route.split) > 0:
        reason = "no service has a weight over 0; give one to a service"
        yield ServingProblem(path, reason, True)


def _check_times(path: str, route: Route) -> Iterator[ServingProblem]:
    if not route.timeout_s > 0:
        reason = "timeout_ms is not over 0, so every request is late; raise it"
        yield ServingProblem(path, reason, True)
    elif route.timeout_s < route.objective_s:
        reason = (
            f"timeout_ms {route.timeout_s * 1e3:g} is below target_latency_ms "
            f"{route.objective_s * 1e3:g}; raise it, or lower the target"
        )
        yield ServingProblem(path, reason, False)
    if route.timeout_s < route.max_event_gap_s < float("inf"):
        reason = (
            f"gap_aim_ms {route.max_event_gap_s * 1e3:g} is over timeout_ms "
            f"{route.timeout_s * 1e3:g}; lower it"
        )
        yield ServingProblem(path, reason, False)
    if route.max_attempts > 1 and not (route.repeatable or route.streaming):
        reason = (
            f"max_attempts {route.max_attempts} has no effect, as its requests may "
            "not run twice; set 1, or another kind"
        )
        yield ServingProblem(path, reason, False)


def _check_services(configuration: ServingConfiguration) -> Iterator[ServingProblem]:
    used = {
        weighted.service for route in configuration.routes for weighted in route.split
    }
    for name, service in configuration.services.items():
        path = f"services {name!r}"
        if name not in used:
            reason = "no route sends requests to it; add a route, or remove it"
            yield ServingProblem(path, reason, False)
        if service.max_connections < 1:
            reason = f"max_connections {service.max_connections} allows none; raise it"
            yield ServingProblem(path, reason, True)
        if service.engine is not None and service.engine.slots < 1:
            reason = f"slots {service.engine.slots} allow no request; raise them"
            yield ServingProblem(path, reason, True)


def _check_limits(configuration: ServingConfiguration) -> Iterator[ServingProblem]:
    for name, value in attrs.asdict(configuration.limits).items():
        if name != "body_bytes" and not value > 0:
            reason = f"{name} {value:g} refuses every request; raise it"
            yield ServingProblem("limits", reason, True)
    if configuration.limits.body_bytes < 0:
        reason = "body_bytes is negative; use 0 or more"
        yield ServingProblem("limits", reason, True)
    elif not configuration.limits.body_bytes:
        reason = "body_bytes 0 refuses every request with a body; raise it"
        yield ServingProblem("limits", reason, False)


def _check_organisations(
    configuration: ServingConfiguration,
) -> Iterator[ServingProblem]:
    if configuration.organisations is None:
        return
    owners: dict[str, str] = {}
    names: set[str] = set()
    for number, organisation in enumerate(configuration.organisations):
        path = f"tenants[{number}] {organisation.name!r}"
        if organisation.name in names:
            reason = "has the name of an earlier one; rename or join them"
            yield ServingProblem(path, reason, False)
        names.add(organisation.name)
        if not organisation.key_digests:
            reason = "has no key, so nobody can call for it; add one"
            yield ServingProblem(path, reason, False)
        for digest in organisation.key_digests:
            owner = owners.setdefault(digest, organisation.name)
            if owner != organisation.name:
                reason = f"key {_shorten(digest)} is also one of {owner!r}; change one"
                yield ServingProblem(path, reason, True)
    if owners:
        return
    for number, route in enumerate(configuration.routes):
        if not route.public:
            reason = "no key can reach it, as there is none; add a key, or public"
            path = f"routes[{number}] {route.name!r}"
            yield ServingProblem(path, reason, True)


def describe_changes(
    in_force: ServingConfiguration, new: ServingConfiguration
) -> list[str]:
    """Return what a configuration changes, a line each; keys as short digests.

    :param in_force: configuration in force.
    :param new: configuration that shall replace it.
    """
    return [
        *_describe_version(in_force, new),
        *_describe_callers(in_force, new),
        *_describe_routes(in_force, new),
        *_describe_services(in_force, new),
        *_describe_limits(in_force, new),
        *_describe_keys(in_force, new),
    ]


def _describe_version(
    in_force: ServingConfiguration, new: ServingConfiguration
) -> Iterator[str]:
    if new.version <= in_force.version:
        yield (
            f"version {new.version} is not over the {in_force.version} in force: "
            "gateways ignore it"
        )


def _describe_callers(
    in_force: ServingConfiguration, new: ServingConfiguration
) -> Iterator[str]:
    table = RouteTable.from_configuration(new)
    for route in in_force.routes:
        what = f"requests to {route.host}{route.path_prefix}"
        successor = table.match(route.host, route.path_prefix)
        if successor is None:
            yield f"callers: {what} get 404"
            continue
        before, after = _list_services(route), _list_services(successor)
        if before != after:
            yield f"callers: {what} go to {after} in place of {before}"
        needed_key = in_force.organisations is not None and not route.public
        needs_key = new.organisations is not None and not successor.public
        if needs_key and not needed_key:
            yield f"callers: {what} get 401 without a key"


def _describe_routes(
    in_force: ServingConfiguration, new: ServingConfiguration
) -> Iterator[str]:
    before = {(route.host, route.path_prefix): route for route in in_force.routes}
    after = {(route.host, route.path_prefix): route for route in new.routes}
    for match in before.keys() - after.keys():
        yield f"routes: {''.join(match)} is removed"
    for match, route in after.items():
        if match not in before:
            yield f"routes: {''.join(match)} is added, to {_list_services(route)}"
        elif changes := _list_changes(before[match], route):
            yield f"routes: {''.join(match)} changes {changes}"


def _describe_services(
    in_force: ServingConfiguration, new: ServingConfiguration
) -> Iterator[str]:
    for name in sorted(in_force.services.keys() - new.services.keys()):
        yield f"services: {name!r} is removed"
    for name, service in new.services.items():
        if name not in in_force.services:
            yield f"services: {name!r} is added"
        elif changes := _list_changes(in_force.services[name], service):
            yield f"services: {name!r} changes {changes}"


def _describe_limits(
    in_force: ServingConfiguration, new: ServingConfiguration
) -> Iterator[str]:
    if changes := _list_changes(in_force.limits, new.limits):
        yield f"limits: {changes}"


def _describe_keys(
    in_force: ServingConfiguration, new: ServingConfiguration
) -> Iterator[str]:
    before, after = _group_keys(in_force), _group_keys(new)
    for name in sorted(before.keys() - after.keys()):
        yield f"tenants: {name!r} is removed, its callers get 401"
    for name, digests in after.items():
        if name not in before:
            yield f"tenants: {name!r} is added"
        known = before.get(name, set())
        for digest in sorted(known - digests):
            yield f"tenants: {name!r} loses key {_shorten(digest)}"
        if known and not digests:
            yield f"tenants: {name!r} has no key any more, its callers get 401"
        for digest in sorted(digests - known):
            yield f"tenants: {name!r} gets key {_shorten(digest)}"


def _group_keys(configuration: ServingConfiguration) -> dict[str, set[str]]:
    keys: dict[str, set[str]] = {}
    for organisation in configuration.organisations or ():
        keys.setdefault(organisation.name, set()).update(organisation.key_digests)
    return keys


def _list_services(route: Route) -> str:
    return ", ".join(
        weighted.service
        if len(route.split) == 1
        else f"{weighted.service} ({weighted.weight:g})"
        for weighted in route.split
    )


def _list_changes(before: attrs.AttrsInstance, after: attrs.AttrsInstance) -> str:
    old, new = attrs.asdict(before), attrs.asdict(after)
    return ", ".join(
        f"{name} {old[name]} to {new[name]}"
        for name in old
        if old[name] != new[name] and name != "split"
    )


def _shorten(digest: str) -> str:
    return digest[:SHOWN_DIGEST_LENGTH]
