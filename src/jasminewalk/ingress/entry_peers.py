"""Control channels from an entry to the sidecars of its subset."""

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

import anyio
from absl import logging
from anyio.abc import TaskGroup

from jasminewalk.clock import Clock
from jasminewalk.generated_messages import EntryHello, PoolDemand, RecordFeed
from jasminewalk.generated_settings import EntrySettings
from jasminewalk.interfaces import LogEntry
from jasminewalk.scheduling.membership import Membership
from jasminewalk.transport.channel import MessageHandler, PeerDialer

__all__ = ["PeerLink", "PeerLinks", "RecordBuffer"]

MAX_OUTBOX_MESSAGES = 64
MAX_FEED_BYTES = 1 << 20
MAX_BUFFER_BYTES = 8 << 20
HELLO_PERIOD_HEARTBEATS = 3
REDIAL_SUSPECT_PERIODS = 2.0
MIN_PAUSE_S = 0.1


class RecordBuffer:
    """The newest log records, to feed sidecars that lag behind.

    :param max_bytes: most bytes of records kept.
    """

    def __init__(self, max_bytes: int = MAX_BUFFER_BYTES) -> None:
        self.max_bytes = max_bytes
        self.records: deque[bytes] = deque()
        self.first_offset = 1
        self.size = 0

    @property
    def next_offset(self) -> int:
        """Offset one past the newest record."""
        return self.first_offset + len(self.records)

    def extend(self, entries: Sequence[LogEntry]) -> None:
        """Add records; a gap or a step back empties the buffer first.

        :param entries: records in log order.
        """
        for entry in entries:
            if entry.offset != self.next_offset:
                self.records.clear()
                self.size = 0
                self.first_offset = entry.offset
            self.records.append(entry.data)
            self.size += len(entry.data)
        while self.size > self.max_bytes:
            self.size -= len(self.records.popleft())
            self.first_offset += 1

    def build_feed(self, offset: int) -> RecordFeed | None:
        """Return the records from an offset on, as many as fit in a message.

        :param offset: first offset wanted; nothing is returned if it is gone.
        """
        if not self.first_offset <= offset <= self.next_offset:
            return None
        records: list[bytes] = []
        size = 0
        for index in range(offset - self.first_offset, len(self.records)):
            record = self.records[index]
            if records and size + len(record) > MAX_FEED_BYTES:
                break
            records.append(record)
            size += len(record)
        return RecordFeed(first_offset=offset, records=records, tail=self.next_offset)


class PeerLink:
    """Channel to one sidecar, with an outbox that never blocks the sender.

    :param endpoint: endpoint name.
    :param dialer: the channel.
    :param opened_s: instant at which the channel was opened.
    """

    def __init__(self, endpoint: str, dialer: PeerDialer, opened_s: float) -> None:
        self.endpoint = endpoint
        self.dialer = dialer
        self.opened_s = opened_s
        self.outbox: deque[Any] = deque(maxlen=MAX_OUTBOX_MESSAGES)
        self.message_posted = anyio.Event()
        self.scope = anyio.CancelScope()
        self.next_feed_offset = 0

    def post(self, message: Any) -> None:
        """Put a message into the outbox; the oldest is dropped if it is full.

        :param message: object of a class from ``generated_messages``.
        """
        self.outbox.append(message)
        self.message_posted.set()

    async def run(self) -> None:
        """Send and receive until closed."""
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.dialer.receive)
                await self.send_outbox()

    async def send_outbox(self) -> None:
        """Send messages as they are posted."""
        while True:
            while self.outbox:
                await self.dialer.send(self.outbox.popleft())
            self.message_posted = anyio.Event()
            await self.message_posted.wait()

    def close(self) -> None:
        """Close the channel."""
        self.scope.cancel()
        self.dialer.close()


class PeerLinks:
    """Keeps one channel per endpoint of the subset.

    :param settings: settings of the entry.
    :param incarnation: identifier of the entry process.
    :param clock: source of time.
    :param membership: liveness of endpoints and the subset.
    :param handler: receiver of messages.
    :param get_revision: returns the offset that the entry has folded the log to.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        incarnation: str,
        clock: Clock,
        membership: Membership,
        handler: MessageHandler,
        get_revision: Callable[[], int],
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.clock = clock
        self.membership = membership
        self.handler = handler
        self.get_revision = get_revision
        self.buffer = RecordBuffer()
        self.links: dict[str, PeerLink] = {}
        self.last_hello_s = float("-inf")
        self.leaving = False

    async def run(self, group: TaskGroup) -> None:
        """Open, replace and close channels and send heartbeats until cancelled.

        :param group: task group that the channels run in.
        """
        period_s = self.settings.peers.heartbeat_s
        try:
            while True:
                self.update_channels(group)
                sleep_started_s = self.clock.monotonic()
                await anyio.sleep(period_s)
                self.handle_pause(self.clock.monotonic() - sleep_started_s - period_s)
        finally:
            for endpoint in list(self.links):
                self.close(endpoint)

    def handle_pause(self, late_s: float) -> None:
        """Do not take a pause of this process for a silence of its peers.

        :param late_s: seconds by which the process woke up too late.
        """
        if late_s > MIN_PAUSE_S:
            logging.warning("[entry] Process was paused. seconds=%.2f", late_s)
            self.membership.observe_pause(late_s)

    def update_channels(self, group: TaskGroup) -> None:
        """Match the channels to the subset and send what is due.

        :param group: task group that the channels run in.
        """
        now_s = self.clock.monotonic()
        subset = set(self.membership.subset(now_s))
        for endpoint in list(self.links):
            if endpoint not in subset or self.is_stale(now_s, self.links[endpoint]):
                self.close(endpoint)
        for endpoint in subset - self.links.keys():
            self.open(group, now_s, endpoint)
        period_s = HELLO_PERIOD_HEARTBEATS * self.settings.peers.heartbeat_s
        if now_s - self.last_hello_s >= period_s:
            self.last_hello_s = now_s
            self.send_hello_to_all()

    def is_stale(self, now_s: float, link: PeerLink) -> bool:
        """Return whether a channel should be replaced by a new one.

        :param now_s: current instant.
        :param link: the channel.
        """
        member = self.membership.members.get(link.endpoint)
        if member is None or member.control_address != link.dialer.address:
            return True
        max_silence_s = REDIAL_SUSPECT_PERIODS * self.settings.peers.suspect_s
        is_silent = self.membership.is_silent(now_s, link.endpoint)
        return is_silent and now_s - link.opened_s > max_silence_s

    def open(self, group: TaskGroup, now_s: float, endpoint: str) -> None:
        """Open a channel.

        :param group: task group that the channel runs in.
        :param now_s: current instant.
        :param endpoint: endpoint name.
        """
        address = self.membership.members[endpoint].control_address
        if not address:
            return
        dialer = PeerDialer(
            address,
            self.settings.name,
            self.incarnation,
            self.settings.peers,
            self.handler,
        )
        link = PeerLink(endpoint, dialer, now_s)
        self.links[endpoint] = link
        group.start_soon(link.run)
        self.send_hello(link)

    def close(self, endpoint: str) -> None:
        """Close a channel.

        :param endpoint: endpoint name.
        """
        self.links.pop(endpoint).close()

    def send_hello_to_all(self) -> None:
        """Send a heartbeat on every channel."""
        for link in self.links.values():
            self.send_hello(link)

    def send_hello(self, link: PeerLink) -> None:
        """Send a heartbeat with the records that the sidecar lacks.

        :param link: the channel.
        """
        hello = EntryHello(
            entry=self.settings.name,
            incarnation=self.incarnation,
            revision=self.get_revision(),
            leaving=self.leaving,
        )
        link.post(hello)
        self.send_missing_records(link)

    def send_missing_records(self, link: PeerLink) -> None:
        """Send the records that a sidecar lacks, or the news that it lacks none.

        The sidecar of a service follows another stream of the log.

        :param link: the channel.
        """
        member = self.membership.members.get(link.endpoint)
        if member is None or member.report is None:
            return
        if member.report.kind != "engine":
            return
        offset = max(link.next_feed_offset, member.report.revision + 1)
        message = self.buffer.build_feed(offset)
        if message is not None:
            link.next_feed_offset = offset + len(message.records)
            link.post(message)

    def on_records(self, entries: Sequence[LogEntry]) -> None:
        """Pass new records on to all sidecars.

        :param entries: records in log order.
        """
        self.buffer.extend(entries)
        for link in self.links.values():
            self.send_missing_records(link)

    def on_revision(self, endpoint: str, revision: int) -> None:
        """Feed a sidecar again that did not take the last feed.

        :param endpoint: endpoint name.
        :param revision: offset that the sidecar has folded the log to.
        """
        link = self.links.get(endpoint)
        if link is None:
            return
        if revision + 1 < self.buffer.next_offset:
            link.next_feed_offset = 0

    def send_demand(self, demands: Sequence[PoolDemand]) -> None:
        """Pass evidence of demand on to the sidecars of each pool's engines.

        :param demands: what the entry saw of each pool and class.
        """
        demands_by_pool: dict[str, list[PoolDemand]] = {}
        for demand in demands:
            demands_by_pool.setdefault(demand.pool, []).append(demand)
        for endpoint, link in self.links.items():
            member = self.membership.members.get(endpoint)
            for demand in demands_by_pool.get(member.pool, ()) if member else ():
                link.post(demand)
