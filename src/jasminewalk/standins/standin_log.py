"""Stand-in for the platform's append-only log."""

import random
from collections import deque
from typing import Any

import anyio
import attrs
import msgspec

from jasminewalk.agreement.log_client import MAIN_STREAM
from jasminewalk.clock import Clock, SystemClock
from jasminewalk.exceptions import BadRequestError, JasminewalkError
from jasminewalk.generated_codes import Code
from jasminewalk.generated_standins import AppendResult, LogFaults, StandinLogSettings
from jasminewalk.standins._standin import Standin, StandinRequest
from jasminewalk.transport._http import send_json

__all__ = ["LogStream", "StandinLog", "StoredRecord"]

MAX_PAGE_RECORDS = 100_000
MAX_WAIT_S = 60.0
MAX_STREAMS = 1000


@attrs.frozen
class StoredRecord:
    """A record in the log.

    :param offset: offset in the stream, from 1.
    :param at_s: time of the append in seconds.
    :param data: the record.
    """

    offset: int
    at_s: float
    data: bytes


class LogStream:
    """Records of one stream of the log.

    :param retention_s: seconds that a record is kept.
    """

    def __init__(self, retention_s: float) -> None:
        self.retention_s = retention_s
        self.records: deque[StoredRecord] = deque()
        self.tail = 1
        self.changed = anyio.Event()

    @property
    def first_offset(self) -> int:
        """Offset of the oldest record retained; the tail if there is none."""
        return self.records[0].offset if self.records else self.tail

    def append(self, now_s: float, data: bytes) -> int:
        """Append a record and return its offset.

        :param now_s: current time in seconds.
        :param data: the record.
        """
        offset = self.tail
        self.tail += 1
        self.records.append(StoredRecord(offset, now_s, data))
        self.wake_readers()
        return offset

    def wake_readers(self) -> None:
        """Wake waiting reads, so that they check for records again."""
        self.changed.set()
        self.changed = anyio.Event()

    def read(self, now_s: float, offset: int, limit: int) -> list[StoredRecord]:
        """Drop expired records, then return records, starting at an offset.

        :param now_s: current time in seconds.
        :param offset: offset of the first record to return.
        :param limit: maximum number of records to return.
        """
        while self.records and self.records[0].at_s < now_s - self.retention_s:
            self.records.popleft()
        start = max(0, offset - self.first_offset)
        stop = min(len(self.records), start + limit)
        if start >= stop:
            return []
        return [self.records[index] for index in range(start, stop)]


class StandinLog(Standin[LogFaults]):
    """In-memory log with retention, a limited append rate and faults.

    :param settings: settings of the log.
    :param clock: source of time.
    """

    def __init__(
        self, settings: StandinLogSettings, *, clock: Clock | None = None
    ) -> None:
        super().__init__(settings.listen, settings.record_bytes, LogFaults())
        self.settings = settings
        self.clock = clock or SystemClock()
        self.rng = random.Random(settings.seed)
        self.streams: dict[str, LogStream] = {}
        self.main_stream = self.get_stream(MAIN_STREAM)
        self.append_budget = float(settings.append_burst)
        self.budget_updated_s = self.clock.monotonic()
        self.appends = 0
        self.reads = 0
        self.refused = 0
        self.late_appends: deque[tuple[float, LogStream, bytes]] = deque()
        self.late_append_added = anyio.Event()

    def get_stream(self, name: str) -> LogStream:
        """Return the stream with a name, and create it on first use.

        :param name: name of the stream.
        :raises BadRequestError: if the log already has the maximum number of streams.
        """
        stream = self.streams.get(name)
        if stream is not None:
            return stream
        if len(self.streams) >= MAX_STREAMS:
            raise BadRequestError(f"The log already has {MAX_STREAMS} streams.")
        self.streams[name] = LogStream(self.settings.retention_s)
        return self.streams[name]

    def append(self, data: bytes, stream: LogStream | None = None) -> int:
        """Append a record and return its offset.

        :param data: the record.
        :param stream: stream to append to; the main stream if absent.
        """
        self.appends += 1
        return (stream or self.main_stream).append(self.clock.monotonic(), data)

    def wake_readers(self) -> None:
        """Wake waiting reads, so that they check for records again."""
        for stream in self.streams.values():
            stream.wake_readers()

    def take_append_budget(self) -> None:
        """Take one append from the budget, which refills at the append rate.

        :raises JasminewalkError: if the budget is exhausted.
        """
        now_s = self.clock.monotonic()
        refill = (now_s - self.budget_updated_s) * self.settings.appends_per_s
        self.append_budget = min(
            float(self.settings.append_burst), self.append_budget + refill
        )
        self.budget_updated_s = now_s
        if self.append_budget < 1.0:
            self.refused += 1
            raise JasminewalkError(
                "The log's append budget is exhausted.",
                code=Code.OVERLOADED,
                retry_after_s=1.0 / self.settings.appends_per_s,
            )
        self.append_budget -= 1.0

    def check_outage(self) -> None:
        """Raise an error if the outage fault is set.

        :raises JasminewalkError: if the log is unavailable.
        """
        if self.faults.outage:
            self.refused += 1
            raise JasminewalkError(code=Code.LOG_UNAVAILABLE)

    def on_faults_changed(self, previous: LogFaults) -> None:
        """Wake waiting reads, so that they see an outage.

        :param previous: faults before the change.
        """
        self.wake_readers()

    def get_counts(self) -> Any:
        """Return counts of appends, reads and refusals, and offsets of the streams."""
        return {
            "appends": self.appends,
            "reads": self.reads,
            "refused": self.refused,
            "first": self.main_stream.first_offset,
            "tail": self.main_stream.tail,
            "tails": {name: stream.tail for name, stream in self.streams.items()},
            "waiting_late": len(self.late_appends),
        }

    async def handle_request(self, request: StandinRequest) -> None:
        """Handle an append or a read.

        :param request: the request.
        """
        stream = self.find_stream(request)
        await anyio.sleep(self.faults.delay_s)
        self.check_outage()
        if request.method == "POST":
            await self.handle_append(request, stream)
        else:
            await self.handle_read(request, stream)

    def find_stream(self, request: StandinRequest) -> LogStream:
        """Return the stream that the path of a request names.

        :param request: request for ``/records`` or ``/streams/{name}/records``.
        """
        segments = request.path_segments
        if request.method in ("GET", "POST"):
            if segments == ["records"]:
                return self.main_stream
            if len(segments) == 3 and (segments[0], segments[2]) == (
                "streams",
                "records",
            ):
                return self.get_stream(segments[1])
        raise self.build_unknown_path_error(request)

    async def handle_append(self, request: StandinRequest, stream: LogStream) -> None:
        """Append a record, subject to the faults that are set.

        :param request: request whose body is the record.
        :param stream: stream to append to.
        """
        if not request.body:
            raise BadRequestError("The record is empty.")
        self.take_append_budget()
        if self.faults.late_appends:
            self.faults = attrs.evolve(
                self.faults, late_appends=self.faults.late_appends - 1
            )
            due_s = self.clock.monotonic() + self.faults.late_s
            self.late_appends.append((due_s, stream, request.body))
            self.late_append_added.set()
            raise JasminewalkError(code=Code.LOG_UNAVAILABLE)
        offset = self.append(request.body, stream)
        if self.consume_response_loss():
            await self.reset_connection(request)
            return
        self.check_not_silenced(request)
        await send_json(request.send, 200, AppendResult(offset=offset))

    def consume_response_loss(self) -> bool:
        """Return whether to lose this response, and count down ``lose_answers``."""
        if self.faults.lose_answers:
            self.faults = attrs.evolve(
                self.faults, lose_answers=self.faults.lose_answers - 1
            )
            return True
        return self.faults.loss > 0 and self.rng.random() < self.faults.loss

    async def handle_read(self, request: StandinRequest, stream: LogStream) -> None:
        """Send a page of records; if there are none, wait for one up to ``wait_s``.

        :param request: request with the parameters offset, limit and wait_s.
        :param stream: stream to read.
        """
        self.reads += 1
        offset = int(request.get_number("offset", 1, 1 << 62))
        limit = int(request.get_number("limit", 1000, MAX_PAGE_RECORDS))
        wait_s = request.get_number("wait_s", 0.0, MAX_WAIT_S)
        records = stream.read(self.clock.monotonic(), offset, limit)
        if not records:
            await self.wait_for_record(stream, offset, wait_s)
            self.check_outage()
            records = stream.read(self.clock.monotonic(), offset, limit)
        self.check_not_silenced(request)
        rows = [(record.offset, record.data) for record in records]
        body = msgspec.msgpack.encode((stream.first_offset, stream.tail, rows))
        headers = [
            (b"content-type", b"application/msgpack"),
            (b"content-length", str(len(body)).encode()),
        ]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await request.send(start)
        await request.send({"type": "http.response.body", "body": body})

    async def wait_for_record(
        self, stream: LogStream, offset: int, wait_s: float
    ) -> None:
        """Wait for a record, an outage, a stop or the timeout.

        :param stream: stream to read.
        :param offset: offset of the awaited record.
        :param wait_s: maximum wait in seconds.
        """
        with anyio.move_on_after(wait_s):
            while stream.tail <= offset and not self.faults.outage:
                if self.stopping.is_set():
                    return
                await stream.changed.wait()

    def stop(self) -> None:
        """End waiting reads and finish open requests, then let ``run`` return."""
        super().stop()
        self.wake_readers()

    async def run_background(self) -> None:
        """Append late records when they are due, until cancelled."""
        while True:
            if not self.late_appends:
                self.late_append_added = anyio.Event()
                await self.late_append_added.wait()
            due_s, stream, data = self.late_appends[0]
            await anyio.sleep(max(0.0, due_s - self.clock.monotonic()))
            self.append(data, stream)
            self.late_appends.popleft()
