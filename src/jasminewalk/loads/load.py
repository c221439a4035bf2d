"""Open-loop load on the callers' interface of a fleet."""

import time
from collections.abc import Callable
from pathlib import Path

import anyio
import httpcore
import msgspec

from jasminewalk.generated_load import LoadPlan, LoadResult
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.loads.load_schedule import DueRequest, LoadSchedule, check_plan
from jasminewalk.loads.load_tally import Answer, LoadTally
from jasminewalk.loads.reports import result_lines, write_report
from jasminewalk.settings import load_settings
from jasminewalk.transport._http import build_url, open_http_pool

__all__ = ["LoadDriver", "run_load"]

PROGRESS_S = 1.0
GRACE_S = 5.0
HTTP_OK = 200
HTTP_SERVER_ERROR = 500
EVENT = b"data: "
DONE_EVENT = b"data: [DONE]"

Printer = Callable[[str], None]


class LoadDriver:
    """Sends the requests of a schedule when they are due.

    :param plan: the plan.
    :param pool: HTTP connections.
    :param printer: receiver of lines of progress.
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
        self.open = 0

    @property
    def now_s(self) -> float:
        """Seconds since the start of the load."""
        return time.monotonic() - self.start_s

    async def run(self) -> None:
        """Send all requests and wait for their answers."""
        self.start_s = time.monotonic()
        async with anyio.create_task_group() as progress:
            progress.start_soon(self.show_progress)
            async with anyio.create_task_group() as group:
                for request in self.schedule.requests():
                    await anyio.sleep(max(0.0, request.due_s - self.now_s))
                    if self.open >= self.plan.max_open:
                        self.tally.add(request, Answer(outcome="not_sent"))
                        continue
                    self.open += 1
                    group.start_soon(self.send, request)
            progress.cancel_scope.cancel()

    async def show_progress(self) -> None:
        """Print a line each second until cancelled."""
        while True:
            await anyio.sleep(PROGRESS_S)
            totals = self.tally.totals
            self.printer(
                f"{self.now_s:6.0f} s  open={self.open} in_time={totals['in_time']} "
                f"late={totals['late']} refused={totals['refused']} "
                f"failed={totals['failed']}"
            )

    async def send(self, request: DueRequest) -> None:
        """Send one request and count what became of it.

        :param request: the request.
        """
        answer = Answer()
        deadline_s = self.plan.kinds[request.kind].deadline_s
        try:
            with anyio.fail_after(deadline_s + GRACE_S):
                await self.exchange(request, answer)
        except TimeoutError:
            answer.reason = "timeout"
        except (OSError, httpcore.NetworkError, httpcore.ProtocolError) as error:
            answer.reason = type(error).__name__
        answer.whole_s = self.now_s - request.due_s
        self.open -= 1
        self.tally.add(request, answer)

    async def exchange(self, request: DueRequest, answer: Answer) -> None:
        """Send one request and read its answer.

        :param request: the request.
        :param answer: what became of it, to be filled in.
        """
        async with self.pool.stream(
            request.method,
            build_url(request.address, request.path),
            headers=request.headers,
            content=request.body,
        ) as response:
            if response.status != HTTP_OK:
                note_error(answer, response.status, await response.aread())
            elif request.streamed:
                await self.read_tokens(request, answer, response)
            else:
                await response.aread()
                answer.outcome = "answered"

    async def read_tokens(
        self, request: DueRequest, answer: Answer, response: httpcore.Response
    ) -> None:
        """Read a stream of tokens.

        :param request: the request.
        :param answer: what became of it, to be filled in.
        :param response: the response.
        """
        rest = b""
        last_s: float | None = None
        async for chunk in response.aiter_stream():
            *lines, rest = (rest + chunk).split(b"\n")
            tokens = sum(is_token(line) for line in lines)
            if tokens:
                now_s = self.now_s
                note_tokens(answer, tokens, now_s, last_s, request.due_s)
                last_s = now_s
            if DONE_EVENT in lines:
                answer.outcome = "answered"
            for line in lines:
                if line.startswith(b'data: {"error"'):
                    note_error(answer, HTTP_SERVER_ERROR, line[len(EVENT) :])
                    return


def is_token(line: bytes) -> bool:
    """Return whether a line of a stream carries a token.

    >>> is_token(b'data: {"choices":[{"index":0,"delta":{"content":" a"}}]}')
    True

    :param line: the line.
    """
    return b'"content":"' in line and b'"content":""' not in line


def note_tokens(
    answer: Answer, tokens: int, now_s: float, last_s: float | None, due_s: float
) -> None:
    """Note tokens that came together.

    :param answer: what became of the request.
    :param tokens: how many tokens.
    :param now_s: seconds from the start of the load.
    :param last_s: when the tokens before came; nothing for the first.
    :param due_s: when the request was due.
    """
    answer.tokens += tokens
    if last_s is None:
        answer.first_token_s = now_s - due_s
    else:
        answer.gaps_s.append((now_s - last_s) / tokens)


def note_error(answer: Answer, status: int, body: bytes) -> None:
    """Note an error answer; one that did not run is a refusal.

    :param answer: what became of the request.
    :param status: HTTP status.
    :param body: body of the answer.
    """
    try:
        refusal = msgspec.json.decode(body, type=RefusalBody)
    except msgspec.MsgspecError:
        answer.outcome, answer.reason = "failed", f"status {status}"
        return
    answer.outcome = "refused" if refusal.ran == "not_run" else "failed"
    answer.reason = f"{refusal.code} {refusal.name}"


async def run_load(file: str, out: str, printer: Printer) -> LoadResult:
    """Run the plan of a file and write its report.

    :param file: YAML file with the plan.
    :param out: directory for the report.
    :param printer: receiver of lines for the operator.
    :raises BadSettingsError: if the plan is not valid.
    """
    plan = load_settings(file, LoadPlan)
    check_plan(plan)
    async with open_http_pool(plan.max_open) as pool:
        driver = LoadDriver(plan, pool, printer)
        await driver.run()
    result = driver.tally.result(Path(file).name)
    for line in result_lines(result):
        printer(line)
    for path in write_report(result, Path(out)):
        printer(f"Wrote {path}")
    return result
