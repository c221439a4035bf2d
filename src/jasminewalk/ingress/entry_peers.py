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

OUTBOX_MESSAGES = 64
FEED_BYTES = 1 << 20
BUFFER_BYTES = 8 << 20
HELLO_HEARTBEATS = 3
REDIAL_SILENCES = 2.0
PAUSE_S = 0.1


class RecordBuffer:
    """The newest log records, to feed sidecars that lag behind.

    :param max_bytes: most bytes of records kept.
    """

    def __init__(self, max_bytes: int = BUFFER_BYTES) -> None:
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

    def feed(self, offset: int) -> RecordFeed | None:
        """Return the records from an offset on, as many as fit in a message.

        :param offset: first offset wanted; nothing is returned if it is gone.
        """
        if not self.first_offset <= offset <= self.next_offset:
            return None
        records: list[bytes] = []
        size = 0
        for index in range(offset - self.first_offset, len(self.records)):
            record = self.records[index]
            if records and size + len(record) > FEED_BYTES:
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
        self.outbox: deque[Any] = deque(maxlen=OUTBOX_MESSAGES)
        self.waiting = anyio.Event()
        self.scope = anyio.CancelScope()
        self.fed_offset = 0

    def post(self, message: Any) -> None:
        """Put a message into the outbox; the oldest is dropped if it is full.

        :param message: object of a class from ``generated_messages``.
        """
        self.outbox.append(message)
        self.waiting.set()

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
            self.waiting = anyio.Event()
            await self.waiting.wait()

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
    :param revision: returns the offset that the entry has folded the log to.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        incarnation: str,
        clock: Clock,
        membership: Membership,
        handler: MessageHandler,
        revision: Callable[[], int],
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.clock = clock
        self.membership = membership
        self.handler = handler
        self.revision = revision
        self.buffer = RecordBuffer()
        self.links: dict[str, PeerLink] = {}
        self.hello_s = float("-inf")
        self.leaving = False

    async def run(self, group: TaskGroup) -> None:
        """Open, replace and close channels and send heartbeats until cancelled.

        :param group: task group that the channels run in.
        """
        period_s = self.settings.peers.heartbeat_s
        try:
            while True:
                self.tick(group)
                slept_s = self.clock.monotonic()
                await anyio.sleep(period_s)
                self.note_pause(self.clock.monotonic() - slept_s - period_s)
        finally:
            for endpoint in list(self.links):
                self.close(endpoint)

    def note_pause(self, late_s: float) -> None:
        """Do not take a pause of this process for a silence of its peers.

        :param late_s: seconds by which the process woke up too late.
        """
        if late_s > PAUSE_S:
            logging.warning("[entry] Process was paused. seconds=%.2f", late_s)
            self.membership.observe_pause(late_s)

    def tick(self, group: TaskGroup) -> None:
        """Match the channels to the subset and send what is due.

        :param group: task group that the channels run in.
        """
        now_s = self.clock.monotonic()
        wanted = set(self.membership.choose_subset(now_s))
        for endpoint in list(self.links):
            if endpoint not in wanted or self.is_stale(now_s, self.links[endpoint]):
                self.close(endpoint)
        for endpoint in wanted - self.links.keys():
            self.open(group, now_s, endpoint)
        period_s = HELLO_HEARTBEATS * self.settings.peers.heartbeat_s
        if now_s - self.hello_s >= period_s:
            self.hello_s = now_s
            self.greet_all()

    def is_stale(self, now_s: float, link: PeerLink) -> bool:
        """Return whether a channel should be replaced by a new one.

        :param now_s: current instant.
        :param link: the channel.
        """
        member = self.membership.members.get(link.endpoint)
        if member is None or member.control_address != link.dialer.address:
            return True
        patience_s = REDIAL_SILENCES * self.settings.peers.suspect_s
        silent = self.membership.is_silent(now_s, link.endpoint)
        return silent and now_s - link.opened_s > patience_s

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
        self.greet(link)

    def close(self, endpoint: str) -> None:
        """Close a channel.

        :param endpoint: endpoint name.
        """
        self.links.pop(endpoint).close()

    def greet_all(self) -> None:
        """Send a heartbeat on every channel."""
        for link in self.links.values():
            self.greet(link)

    def greet(self, link: PeerLink) -> None:
        """Send a heartbeat with the records that the sidecar lacks.

        :param link: the channel.
        """
        hello = EntryHello(
            entry=self.settings.name,
            incarnation=self.incarnation,
            revision=self.revision(),
            leaving=self.leaving,
        )
        link.post(hello)
        self.feed(link)

    def feed(self, link: PeerLink) -> None:
        """Send the records that a sidecar lacks, or the news that it lacks none.

        The sidecar of a service follows another stream of the log.

        :param link: the channel.
        """
        member = self.membership.members.get(link.endpoint)
        if member is None or member.report is None:
            return
        if member.report.kind != "engine":
            return
        offset = max(link.fed_offset, member.report.revision + 1)
        message = self.buffer.feed(offset)
        if message is not None:
            link.fed_offset = offset + len(message.records)
            link.post(message)

    def on_records(self, entries: Sequence[LogEntry]) -> None:
        """Pass new records on to all sidecars.

        :param entries: records in log order.
        """
        self.buffer.extend(entries)
        for link in self.links.values():
            self.feed(link)

    def on_revision(self, endpoint: str, revision: int) -> None:
        """Feed a sidecar again that did not take the last feed.

        :param endpoint: endpoint name.
        :param revision: offset that the sidecar has folded the log to.
        """
        link = self.links.get(endpoint)
        if link is None:
            return
        if revision + 1 < self.buffer.next_offset:
            link.fed_offset = 0

    def send_demand(self, demands: Sequence[PoolDemand]) -> None:
        """Pass evidence of demand on to the sidecars of each pool's engines.

        :param demands: what the entry saw of each pool and class.
        """
        by_pool: dict[str, list[PoolDemand]] = {}
        for demand in demands:
            by_pool.setdefault(demand.pool, []).append(demand)
        for endpoint, link in self.links.items():
            member = self.membership.members.get(endpoint)
            for demand in by_pool.get(member.pool, ()) if member else ():
                link.post(demand)
