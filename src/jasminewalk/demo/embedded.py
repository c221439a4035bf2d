"""Demonstration: the example in ``examples/escuela`` served by one process."""

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
from jasminewalk.transport._http import build_url, open_http_pool

__all__ = ["run_demo"]

EXAMPLE_FILE = (
    Path(__file__).resolve().parents[3] / "examples/escuela/configuration.yaml"
)
ORGANISATION = "asturias"
BOOKING_KEY = "cafe-luna-2026-12-04"
HANDBOOK_PARAGRAPH = (
    "Chapter {number}. Dose eighteen grams, tamp level, and time the shot from the "
    "first drop. A shot below twenty seconds is under-extracted and tastes sour; one "
    "above thirty-five is over-extracted and tastes bitter. "
)
HANDBOOK_CHAPTERS = 120
EVENT_DATA_PREFIX = b"data: "
MAX_SHOWN_CHARACTERS = 60


@attrs.frozen(kw_only=True)
class DemoResult:
    """Response to a request of the demo, and how it was served.

    :param title: short description of the request.
    :param status: HTTP status.
    :param text: text of the response.
    :param is_complete: whether the response is complete.
    :param trace: trace of the request.
    :param replayed: whether the response repeats that to an earlier request.
    """

    title: str
    status: int
    text: str
    is_complete: bool
    trace: RequestTrace
    replayed: bool = False

    @property
    def endpoint(self) -> str:
        """Endpoint of the last attempt; empty if there was no attempt."""
        return self.trace.attempts[-1].endpoint if self.trace.attempts else ""


class DemoCaller:
    """Sends the requests of the demo to one entry.

    :param pool: HTTP connection pool.
    :param entry: the entry.
    """

    def __init__(self, pool: httpcore.AsyncConnectionPool, entry: EntryDaemon) -> None:
        self.pool = pool
        self.entry = entry

    @property
    def base_url(self) -> str:
        """Base URL of the organisation."""
        return build_url(self.entry.address, f"/organisations/{ORGANISATION}")

    async def request(
        self,
        method: str,
        path: str,
        document: object = None,
        headers: list[tuple[str, str]] | None = None,
    ) -> httpcore.Response:
        """Send a request and return its response with the body.

        :param method: HTTP method.
        :param path: path after the base URL.
        :param document: document to send as the JSON body; no body if absent.
        :param headers: request headers.
        """
        body = b"" if document is None else msgspec.json.encode(document)
        return await self.pool.request(
            method, self.base_url + path, headers=headers or [], content=body
        )

    async def get_trace(self, response: httpcore.Response) -> RequestTrace:
        """Return the trace of a request.

        :param response: response to the request.
        """
        request_id = get_header(response, b"request-id")
        url = build_url(self.entry.control_address, f"/explain/{request_id}")
        trace_response = await self.pool.request("GET", url)
        return msgspec.json.decode(trace_response.content, type=RequestTrace)

    async def request_verdict(self) -> DemoResult:
        """Request a verdict on an espresso shot as a stream.

        The prompt contains a long handbook.
        """
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
            line.removeprefix(EVENT_DATA_PREFIX)
            for line in response.content.split(b"\n")
            if line.startswith(EVENT_DATA_PREFIX)
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
        """Ask the quick helper a question."""
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
        """Request the timetable from a plain service."""
        response = await self.request("GET", "/services/timetable/courses/monday")
        return await self.build_service_result("Timetable look-up", response)

    async def book_seat(self) -> DemoResult:
        """Book a seat, always with the same idempotency key."""
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
        """Build the result of a call to a plain service.

        :param title: short description of the request.
        :param response: response to the call.
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
    """Build the text of a course handbook."""
    chapters = range(1, HANDBOOK_CHAPTERS + 1)
    return "".join(HANDBOOK_PARAGRAPH.format(number=number) for number in chapters)


def get_header(response: httpcore.Response, name: bytes) -> str:
    """Return the value of a header, or an empty string if it is absent.

    :param response: the response.
    :param name: header name in lower case.
    """
    for key, value in response.headers:
        if key.lower() == name:
            return value.decode()
    return ""


def extract_event_text(event: bytes) -> str:
    """Extract the text that a streamed event adds.

    :param event: JSON document of the event.
    """
    choices = msgspec.json.decode(event).get("choices", [])
    return "".join(choice["delta"].get("content", "") for choice in choices)


def print_result(result: DemoResult) -> None:
    """Print a response, the endpoint that served it and the reason for that choice.

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


async def publish_example(deployment: Deployment) -> None:
    """Publish the example configuration and wait until it is in force.

    :param deployment: the deployment.
    """
    settings = OperatorSettings(
        log=deployment.log_settings,
        instances_address=deployment.instances.address,
        author="demo",
    )
    await publish_file(settings, PublishOptions(file=str(EXAMPLE_FILE)), print)


async def send_requests(
    pool: httpcore.AsyncConnectionPool, deployment: Deployment
) -> bool:
    """Send one request of each kind, and repeat the booking at the other entry.

    Return whether all requests succeeded and the booking was executed once.

    :param pool: HTTP connection pool.
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
    same_text = results[-1].text == results[-2].text
    print(f"\nThe service saw {runs} booking for key {BOOKING_KEY!r}.")
    all_served = all(
        item.status == 200 and item.is_complete and item.endpoint for item in results
    )
    return all_served and same_text and results[-1].replayed and runs == 1


async def serve_until_signal(deployment: Deployment) -> None:
    """Print the addresses and serve until SIGINT or SIGTERM.

    :param deployment: the deployment.
    """
    print()
    for entry in deployment.entries.values():
        base = build_url(entry.address, f"/organisations/{ORGANISATION}/v1")
        print(f"Base URL of {entry.settings.name}: {base}")
        print(f"  for operators: {build_url(entry.control_address, '/status')}")
    print(f"Log: {deployment.log.address}")
    print(f"Instance list: {deployment.instances.address}")
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            return


async def run_demo_requests(stay: bool) -> bool:
    """Run the deployment and the requests of the demo; return whether they succeeded.

    :param stay: whether to keep serving after the requests.
    """
    plan = build_escuela_plan()
    print(
        f"Starting {len(plan.entries)} entries and {len(plan.endpoints)} endpoints "
        "with their sidecars."
    )
    async with open_http_pool() as pool, run_embedded_deployment(plan) as deployment:
        await deployment.wait_until_usable()
        await publish_example(deployment)
        succeeded = await send_requests(pool, deployment)
        print("All went well." if succeeded else "Something went wrong.")
        if stay:
            await serve_until_signal(deployment)
    return succeeded


def run_demo(stay: bool = False) -> int:
    """Run the demo and return the exit status of the process.

    :param stay: whether to keep serving after the requests.
    """
    succeeded = anyio.run(run_demo_requests, stay, backend_options={"use_uvloop": True})
    return 0 if succeeded else 1
