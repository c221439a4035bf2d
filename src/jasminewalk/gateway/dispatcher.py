"""What becomes of a caller's request: an error at once, or a run of its route."""

import asyncio
from collections.abc import Callable

from jasminewalk.gateway.context import GatewayContext
from jasminewalk.gateway.organisations import Access, Denied
from jasminewalk.gateway.plain_run import PlainRun
from jasminewalk.gateway.planned_stop import Drain
from jasminewalk.gateway.routes import RouteTable
from jasminewalk.gateway.stream_run import StreamRun
from jasminewalk.http1 import CallerConnection, CallerRequest
from jasminewalk.platform.configuration import Route
from jasminewalk.platform.headers import (
    RequestHead,
    decode_request_head,
    find_ambiguous_header,
)

__all__ = ["RequestDispatcher"]

BAD_REQUEST, UNAUTHORIZED, NOT_FOUND, UNAVAILABLE = 400, 401, 404, 503
# ``Retry-After`` in seconds of a gateway that has not read the configuration and the
# registry yet.
STARTING_RETRY_AFTER_S = 0.5


class RequestDispatcher:
    """Checks requests against the configuration in force, and runs them.

    :param context: shared components of the gateway.
    :param drain: refuses requests that the end of the process may cut.
    :param is_started: returns whether the process knows what it needs to serve.
    """

    def __init__(
        self,
        context: GatewayContext,
        drain: Drain,
        is_started: Callable[[], bool],
    ) -> None:
        self.context = context
        self.drain = drain
        self.is_started = is_started
        self.routes: RouteTable | None = None

    async def handle(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Handle one request of a caller.

        :param connection: the caller's connection.
        :param request: the request.
        """
        head = decode_request_head(request.headers)
        log = self.context.log
        if self.routes is None or not self.is_started():
            headers = [(b"retry-after", b"%.1f" % STARTING_RETRY_AFTER_S)]
            connection.send_response(UNAVAILABLE, headers, b"")
            log.warning("refused", request=head.request_id, reason="starting")
            return
        ambiguous_header = find_ambiguous_header(request.headers)
        if ambiguous_header:
            connection.send_response(BAD_REQUEST, (), b"")
            log.warning(
                "ambiguous_request", request=head.request_id, header=ambiguous_header
            )
            return
        route = self.routes.match(request.host, request.path)
        if route is None:
            connection.send_response(NOT_FOUND, (), b"")
            log.info(
                "no_route",
                request=head.request_id,
                host=request.host,
                path=request.path[:80],
                version=self.routes.version,
            )
            return
        access = self._check_key(connection, head, route)
        if access is None:
            return
        if not head.request_id:
            connection.send_response(BAD_REQUEST, (), b"")
            log.warning("no_request_id", route=route.name)
            return
        await self._run(connection, request, head, route, access)

    def _check_key(
        self, connection: CallerConnection, head: RequestHead, route: Route
    ) -> Access | None:
        """Return who the caller is; None if the request was refused."""
        decision = self.context.decide_access(route, head.credential)
        if isinstance(decision, Access):
            return decision
        self._deny(connection, head, route, decision)
        return None

    def _deny(
        self,
        connection: CallerConnection,
        head: RequestHead,
        route: Route,
        denied: Denied,
    ) -> None:
        if denied.retry_after_s is None:
            status, headers = UNAUTHORIZED, []
        else:
            status = UNAVAILABLE
            headers = [(b"retry-after", b"%.2f" % denied.retry_after_s)]
        connection.send_response(status, headers, b"")
        self.context.metrics.record_refusal(route.name, denied.reason)
        self.context.log.warning(
            "denied",
            request=head.request_id,
            route=route.name,
            status=status,
            reason=denied.reason,
            version=self.routes.version if self.routes else None,
        )

    async def _run(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        head: RequestHead,
        route: Route,
        access: Access,
    ) -> None:
        service = RouteTable.choose_service(route, head.request_id)
        self.context.get_retry_budget(service).record_request(self.context.clock())
        run_class = StreamRun if route.streaming else PlainRun
        run = run_class(self.context, connection, request, head, route, service, access)
        if self.drain.refuses(run):
            return
        try:
            with self.drain.track(run):
                await run.run()
        except asyncio.CancelledError:
            if not self.drain.stop.is_over:
                run.warn("caller_left", engines=run.tried_engines)
            raise
