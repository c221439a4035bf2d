"""Send open-loop load to the HTTP interface of a fleet."""

import time
from collections.abc import Callable
from pathlib import Path

import anyio
import httpcore
import msgspec

from jasminewalk.decoding import DECODE_ERRORS
from jasminewalk.generated_load import LoadPlan, LoadResult
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.loads.load_schedule import DueRequest, LoadSchedule, validate_plan
from jasminewalk.loads.load_tally import LoadTally, RequestResult
from jasminewalk.loads.reports import format_result, write_report
from jasminewalk.settings import load_settings
from jasminewalk.transport._http import build_url, open_http_pool
from jasminewalk.transport._http_call import (
    HTTP_OK,
    MAX_RESPONSE_BYTES,
    read_limited_body,
)

__all__ = ["LoadDriver", "run_load"]

PROGRESS_INTERVAL_S = 1.0
TIMEOUT_MARGIN_S = 5.0
MAX_LINE_BYTES = 1 << 16
HTTP_SERVER_ERROR = 500
EVENT_PREFIX = b"data: "
DONE_EVENT = b"data: [DONE]"

Printer = Callable[[str], None]


class LoadDriver:
    """Open-loop load generator that sends the requests of a plan when they are due.

    A slow response does not delay later requests. A request that is due while
    ``max_open`` others are open is counted as not sent.

    :param plan: the plan.
    :param pool: pool of HTTP connections.
    :param printer: function that prints a line of progress.
    """

    def __init__(
        self, plan: LoadPlan, pool: httpcore.AsyncConnectionPool, printer: Printer
    ) -> None:
        self.plan = plan
        self.pool = pool
        self.printer = printer
        self.schedule = LoadSchedule(plan)
        self.tally = LoadTally(plan, self.schedule.duration_s)
        self.start_s = 0.0
        self.open_requests = 0

    @property
    def now_s(self) -> float:
        """Seconds since the start of the load."""
        return time.monotonic() - self.start_s

    async def run(self) -> None:
        """Send all requests and wait for their responses."""
        self.start_s = time.monotonic()
        async with anyio.create_task_group() as progress:
            progress.start_soon(self.print_progress)
            async with anyio.create_task_group() as group:
                for request in self.schedule.generate_requests():
                    await anyio.sleep(max(0.0, request.due_s - self.now_s))
                    if self.open_requests >= self.plan.max_open:
                        self.tally.add(request, RequestResult(outcome="not_sent"))
                        continue
                    self.open_requests += 1
                    group.start_soon(self.send_request, request)
            progress.cancel_scope.cancel()

    async def print_progress(self) -> None:
        """Print a line of totals every second until cancelled."""
        while True:
            await anyio.sleep(PROGRESS_INTERVAL_S)
            totals = self.tally.totals
            self.printer(
                f"{self.now_s:6.0f} s  open={self.open_requests} "
                f"in_time={totals['in_time']} "
                f"late={totals['late']} refused={totals['refused']} "
                f"failed={totals['failed']}"
            )

    async def send_request(self, request: DueRequest) -> None:
        """Send one request and add its result to the tally.

        :param request: the request.
        """
        result = RequestResult()
        deadline_s = self.plan.kinds[request.kind].deadline_s
        try:
            with anyio.fail_after(deadline_s + TIMEOUT_MARGIN_S):
                await self.exchange(request, result)
        except TimeoutError:
            result.reason = "timeout"
        except (OSError, httpcore.NetworkError, httpcore.ProtocolError) as error:
            result.reason = type(error).__name__
        result.whole_s = self.now_s - request.due_s
        self.open_requests -= 1
        self.tally.add(request, result)

    async def exchange(self, request: DueRequest, result: RequestResult) -> None:
        """Send one request and record its response.

        :param request: the request.
        :param result: result of the request; updated.
        :raises OSError: if the connection fails.
        :raises httpcore.NetworkError: if the connection fails.
        :raises httpcore.ProtocolError: if the response is not valid HTTP.
        """
        async with self.pool.stream(
            request.method,
            build_url(request.address, request.path),
            headers=request.headers,
            content=request.body,
        ) as response:
            if response.status != HTTP_OK:
                body = await read_limited_body(response, MAX_RESPONSE_BYTES)
                record_error(result, response.status, body)
            elif request.streamed:
                await self.read_tokens(request, result, response)
            else:
                await read_limited_body(response, MAX_RESPONSE_BYTES)
                result.outcome = "answered"

    async def read_tokens(
        self, request: DueRequest, result: RequestResult, response: httpcore.Response
    ) -> None:
        """Read a response that is a stream of tokens.

        :param request: the request.
        :param result: result of the request; updated.
        :param response: the response.
        :raises httpcore.RemoteProtocolError: if a line is too long.
        """
        partial_line = b""
        last_s: float | None = None
        async for chunk in response.aiter_stream():
            *lines, partial_line = (partial_line + chunk).split(b"\n")
            if len(partial_line) > MAX_LINE_BYTES:
                raise httpcore.RemoteProtocolError("A line of the stream is too long.")
            tokens = sum(has_token(line) for line in lines)
            if tokens:
                now_s = self.now_s
                record_tokens(result, tokens, now_s, last_s, request.due_s)
                last_s = now_s
            if DONE_EVENT in lines:
                result.outcome = "answered"
            for line in lines:
                if line.startswith(b'data: {"error"'):
                    record_error(result, HTTP_SERVER_ERROR, line[len(EVENT_PREFIX) :])
                    return


def has_token(line: bytes) -> bool:
    """Return whether a line of a stream carries a token.

    >>> has_token(b'data: {"choices":[{"index":0,"delta":{"content":" a"}}]}')
    True

    :param line: the line.
    """
    return b'"content":"' in line and b'"content":""' not in line


def record_tokens(
    result: RequestResult, tokens: int, now_s: float, last_s: float | None, due_s: float
) -> None:
    """Record tokens that arrived together.

    Tokens that follow earlier ones add one gap: the time since the earlier ones,
    divided by the number of new tokens.

    :param result: result of the request; updated.
    :param tokens: number of tokens.
    :param now_s: time of arrival in seconds since the start of the load.
    :param last_s: time of the previous tokens in seconds, ``None`` for the first ones.
    :param due_s: time when the request was due in seconds.
    """
    result.tokens += tokens
    if last_s is None:
        result.first_token_s = now_s - due_s
    else:
        result.gaps_s.append((now_s - last_s) / tokens)


def record_error(result: RequestResult, status: int, body: bytes) -> None:
    """Record an error response.

    The outcome is a refusal if the body says that the request did not run, and a
    failure otherwise.

    :param result: result of the request; updated.
    :param status: HTTP status.
    :param body: body of the response.
    """
    try:
        refusal = msgspec.json.decode(body, type=RefusalBody)
    except DECODE_ERRORS:
        result.outcome, result.reason = "failed", f"status {status}"
        return
    result.outcome = "refused" if refusal.ran == "not_run" else "failed"
    result.reason = f"{refusal.code} {refusal.name}"


async def run_load(file: str, out: str, printer: Printer) -> LoadResult:
    """Run the load plan of a file and write its report.

    :param file: YAML file with the plan.
    :param out: directory for the report.
    :param printer: function that prints a line for the operator.
    :raises BadSettingsError: if the plan is not valid.
    """
    plan = load_settings(file, LoadPlan)
    validate_plan(plan)
    async with open_http_pool(plan.max_open) as pool:
        driver = LoadDriver(plan, pool, printer)
        await driver.run()
    result = driver.tally.build_result(Path(file).name)
    for line in format_result(result):
        printer(line)
    for path in write_report(result, Path(out)):
        printer(f"Wrote {path}")
    return result
