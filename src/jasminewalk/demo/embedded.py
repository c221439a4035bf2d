"""Demonstration: a whole deployment in one process that serves the Escuela."""

import signal
from pathlib import Path

import anyio
import attrs
import httpcore
import msgspec

from jasminewalk.demo.deployment import (
    Deployment,
    build_escuela_plan,
    run_embedded_deployment,
)
from jasminewalk.generated_settings import OperatorSettings
from jasminewalk.ingress.entry import EntryDaemon
from jasminewalk.ingress.traces import RequestTrace
from jasminewalk.operators.publish import PublishOptions, publish_file
from jasminewalk.transport._http import http_client, url_of

__all__ = ["run_demo"]

EXAMPLE = Path(__file__).resolve().parents[3] / "examples/escuela/configuration.yaml"
ORGANISATION = "asturias"
BOOKING_KEY = "cafe-luna-2026-12-04"
HANDBOOK_PARAGRAPH = (
    "Chapter {number}. Dose eighteen grams, tamp level, and time the shot from the "
    "first drop. A shot below twenty seconds is under-extracted and tastes sour; one "
    "above thirty-five is over-extracted and tastes bitter. "
)
HANDBOOK_CHAPTERS = 120
EVENT_PREFIX = b"data: "
MAX_SHOWN_CHARACTERS = 60


@attrs.frozen(kw_only=True)
class DemoResult:
    """What a caller got.

    :param title: short description of the request.
    :param status: HTTP status.
    :param text: answer, for people to read.
    :param is_complete: whether the answer is whole.
    :param trace: how it was served.
    :param replayed: whether it is the answer of an earlier request.
    """

    title: str
    status: int
    text: str
    is_complete: bool
    trace: RequestTrace
    replayed: bool = False

    @property
    def endpoint(self) -> str:
        """Endpoint that served the result."""
        return self.trace.attempts[-1].endpoint if self.trace.attempts else ""


class DemoCaller:
    """Caller of one entry.

    :param pool: HTTP connections.
    :param entry: the entry.
    """

    def __init__(self, pool: httpcore.AsyncConnectionPool, entry: EntryDaemon) -> None:
        self.pool = pool
        self.entry = entry

    @property
    def base_url(self) -> str:
        """Base URL of the organisation."""
        return url_of(self.entry.address, f"/organisations/{ORGANISATION}")

    async def request(
        self,
        method: str,
        path: str,
        document: object = None,
        headers: list[tuple[str, str]] | None = None,
    ) -> httpcore.Response:
        """Send a request and return the whole result.

        :param method: HTTP method.
        :param path: path below the organisation.
        :param document: JSON body.
        :param headers: further headers.
        """
        body = b"" if document is None else msgspec.json.encode(document)
        return await self.pool.request(
            method, self.base_url + path, headers=headers or [], content=body
        )

    async def get_trace(self, response: httpcore.Response) -> RequestTrace:
        """Return how a request was served.

        :param response: its result.
        """
        request_id = get_header(response, b"request-id")
        url = url_of(self.entry.control_address, f"/explain/{request_id}")
        found = await self.pool.request("GET", url)
        return msgspec.json.decode(found.content, type=RequestTrace)

    async def request_verdict(self) -> DemoResult:
        """Ask for a streamed verdict on a whole handbook."""
        document = {
            "model": "tutor",
            "stream": True,
            "max_tokens": 60,
            "messages": [
                {"role": "system", "content": build_handbook()},
                {"role": "user", "content": "Shot of 24 s, 36 g out. Verdict?"},
            ],
        }
        response = await self.request("POST", "/v1/chat/completions", document)
        events = [
            line.removeprefix(EVENT_PREFIX)
            for line in response.content.split(b"\n")
            if line.startswith(EVENT_PREFIX)
        ]
        text = "".join(map(extract_event_text, events[:-1]))
        return DemoResult(
            title="Handbook verdict, streamed",
            status=response.status,
            text=text,
            is_complete=bool(text) and events[-1] == b"[DONE]",
            trace=await self.get_trace(response),
        )

    async def ask_question(self) -> DemoResult:
        """Ask the quick helper."""
        document = {
            "model": "quick-helper",
            "max_tokens": 30,
            "messages": [{"role": "user", "content": "Milk at 65 degrees?"}],
        }
        response = await self.request("POST", "/v1/chat/completions", document)
        choice = msgspec.json.decode(response.content)["choices"][0]
        return DemoResult(
            title="Quick helper question",
            status=response.status,
            text=choice["message"]["content"],
            is_complete=choice["finish_reason"] in ("stop", "length"),
            trace=await self.get_trace(response),
        )

    async def request_timetable(self) -> DemoResult:
        """Look up the timetable."""
        response = await self.request("GET", "/services/timetable/courses/monday")
        return await self.build_service_result("Timetable look-up", response)

    async def book_seat(self) -> DemoResult:
        """Book a seat, with a key that is always the same."""
        response = await self.request(
            "POST",
            "/services/enrolment/bookings",
            {"cafe": "Luna", "seats": 1},
            [("Idempotency-Key", BOOKING_KEY)],
        )
        return await self.build_service_result("Booking", response)

    async def build_service_result(
        self, title: str, response: httpcore.Response
    ) -> DemoResult:
        """Return the answer of a plain service.

        :param title: short description of the request.
        :param response: the result.
        """
        return DemoResult(
            title=title,
            status=response.status,
            text=response.content.decode(),
            is_complete=response.status == 200,
            trace=await self.get_trace(response),
            replayed=get_header(response, b"idempotent-replayed") == "true",
        )


def build_handbook() -> str:
    """Return the text of a course handbook."""
    chapters = range(1, HANDBOOK_CHAPTERS + 1)
    return "".join(HANDBOOK_PARAGRAPH.format(number=number) for number in chapters)


def get_header(response: httpcore.Response, name: bytes) -> str:
    """Return the value of a header; empty if it is absent.

    :param response: the result.
    :param name: name in lower case.
    """
    for key, value in response.headers:
        if key.lower() == name:
            return value.decode()
    return ""


def extract_event_text(event: bytes) -> str:
    """Return the new text of a streamed event.

    :param event: JSON text of a chunk.
    """
    choices = msgspec.json.decode(event).get("choices", [])
    return "".join(choice["delta"].get("content", "") for choice in choices)


def print_result(result: DemoResult) -> None:
    """Print what a caller got, which endpoint served it and why.

    :param result: the result.
    """
    trace = result.trace
    replayed = ", replayed" if result.replayed else ""
    text = result.text.strip()
    shown = (
        text
        if len(text) <= MAX_SHOWN_CHARACTERS
        else text[:MAX_SHOWN_CHARACTERS] + "..."
    )
    print(f"\n{result.title}: status {result.status}{replayed}, {trace.total_s:.3f} s")
    print(f"  got      {shown}")
    if trace.output_tokens:
        print(f"  tokens   {trace.prompt_tokens} in, {trace.output_tokens} out")
    for attempt in trace.attempts:
        print(f"  served   by {attempt.endpoint} ({attempt.outcome})")
        print(f"  because  {attempt.reason}")
    print(f"  request  {trace.request_id}")


async def publish(deployment: Deployment) -> None:
    """Publish the example and wait until it is in force.

    :param deployment: the deployment.
    """
    settings = OperatorSettings(
        log=deployment.log_settings,
        instances_address=deployment.instances.address,
        author="demo",
    )
    await publish_file(settings, PublishOptions(file=str(EXAMPLE)), print)


async def send_requests(
    pool: httpcore.AsyncConnectionPool, deployment: Deployment
) -> bool:
    """Send one request of each kind; return whether all went well.

    :param pool: HTTP connections.
    :param deployment: the deployment.
    """
    first, second = (DemoCaller(pool, entry) for entry in deployment.entries.values())
    results = [
        await first.request_verdict(),
        await second.ask_question(),
        await first.request_timetable(),
        await first.book_seat(),
        await second.book_seat(),
    ]
    for result in results:
        print_result(result)
    runs = sum(
        service.runs.get(BOOKING_KEY, 0) for service in deployment.services.values()
    )
    same = results[-1].text == results[-2].text
    print(f"\nThe service saw {runs} booking for key {BOOKING_KEY!r}.")
    served = all(
        result.status == 200 and result.is_complete and result.endpoint
        for result in results
    )
    return served and same and results[-1].replayed and runs == 1


async def serve_until_signal(deployment: Deployment) -> None:
    """Print the base URLs and serve until the process is told to stop.

    :param deployment: the deployment.
    """
    print()
    for entry in deployment.entries.values():
        base = url_of(entry.address, f"/organisations/{ORGANISATION}/v1")
        print(f"Base URL of {entry.settings.name}: {base}")
        print(f"  for operators: {url_of(entry.control_address, '/status')}")
    print(f"Log: {deployment.log.address}")
    print(f"Instance list: {deployment.instances.address}")
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            return


async def run_demo_requests(stay: bool) -> bool:
    """Run the demonstration; return whether all went well.

    :param stay: whether to keep serving afterwards.
    """
    plan = build_escuela_plan()
    print(
        f"Starting {len(plan.entries)} entries and {len(plan.endpoints)} endpoints "
        "with their sidecars."
    )
    async with http_client() as pool, run_embedded_deployment(plan) as deployment:
        await deployment.wait_until_usable()
        await publish(deployment)
        succeeded = await send_requests(pool, deployment)
        print("All went well." if succeeded else "Something went wrong.")
        if stay:
            await serve_until_signal(deployment)
    return succeeded


def run_demo(stay: bool = False) -> int:
    """Run the demonstration; return 0 only if all went well.

    :param stay: whether to keep serving afterwards.
    """
    succeeded = anyio.run(run_demo_requests, stay, backend_options={"use_uvloop": True})
    return 0 if succeeded else 1
