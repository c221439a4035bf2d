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

__all__ = ["SidecarChannel", "SidecarChannels", "RecordBuffer"]

MAX_OUTBOX_MESSAGES = 64
MAX_FEED_BYTES = 1 << 20
MAX_BUFFER_BYTES = 8 << 20
HELLO_INTERVAL_HEARTBEATS = 3
REDIAL_SUSPECT_PERIODS = 2.0
MIN_PAUSE_S = 0.1


class RecordBuffer:
    """Keeps the newest log records for sidecars that lag behind.

    :param max_bytes: maximum total size of the records in bytes.
    """

    def __init__(self, max_bytes: int = MAX_BUFFER_BYTES) -> None:
        self.max_bytes = max_bytes
        self.records: deque[bytes] = deque()
        self.first_offset = 1
        self.size_bytes = 0

    @property
    def next_offset(self) -> int:
        """Offset after the newest record."""
        return self.first_offset + len(self.records)

    def extend(self, entries: Sequence[LogEntry]) -> None:
        """Add records; a gap or a step back in the offsets clears the buffer first.

        :param entries: records in log order.
        """
        for entry in entries:
            if entry.offset != self.next_offset:
                self.records.clear()
                self.size_bytes = 0
                self.first_offset = entry.offset
            self.records.append(entry.data)
            self.size_bytes += len(entry.data)
        while self.size_bytes > self.max_bytes:
            self.size_bytes -= len(self.records.popleft())
            self.first_offset += 1

    def build_feed(self, offset: int) -> RecordFeed | None:
        """Build a message with records from an offset, up to ``MAX_FEED_BYTES``.

        Return None if the buffer does not cover the offset. A record larger than the
        limit is sent alone.

        :param offset: offset of the first record.
        """
        if not self.first_offset <= offset <= self.next_offset:
            return None
        records: list[bytes] = []
        size_bytes = 0
        for index in range(offset - self.first_offset, len(self.records)):
            record = self.records[index]
            if records and size_bytes + len(record) > MAX_FEED_BYTES:
                break
            records.append(record)
            size_bytes += len(record)
        return RecordFeed(first_offset=offset, records=records, tail=self.next_offset)


class SidecarChannel:
    """Control channel to one sidecar, with a bounded queue of outgoing messages.

    :param endpoint: endpoint name.
    :param dialer: connection to the sidecar.
    :param opened_s: time at which the channel was opened, in seconds.
    """

    def __init__(self, endpoint: str, dialer: PeerDialer, opened_s: float) -> None:
        self.endpoint = endpoint
        self.dialer = dialer
        self.opened_s = opened_s
        self.outbox: deque[Any] = deque(maxlen=MAX_OUTBOX_MESSAGES)
        self.message_enqueued = anyio.Event()
        self.cancel_scope = anyio.CancelScope()
        self.next_feed_offset = 0

    def enqueue(self, message: Any) -> None:
        """Queue a message without blocking; a full queue drops the oldest one.

        :param message: instance of a class from ``generated_messages``.
        """
        self.outbox.append(message)
        self.message_enqueued.set()

    async def run(self) -> None:
        """Send and receive messages until the channel is closed."""
        with self.cancel_scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.dialer.receive)
                await self.send_outbox()

    async def send_outbox(self) -> None:
        """Send queued messages until cancelled."""
        while True:
            while self.outbox:
                await self.dialer.send(self.outbox.popleft())
            self.message_enqueued = anyio.Event()
            await self.message_enqueued.wait()

    def close(self) -> None:
        """Close the channel."""
        self.cancel_scope.cancel()
        self.dialer.close()


class SidecarChannels:
    """Keeps one control channel per endpoint of the entry's subset.

    :param settings: settings of the entry.
    :param incarnation: identifier of the entry process.
    :param clock: source of time.
    :param membership: tracks which endpoints are live and chooses the subset.
    :param handler: handles messages from the sidecars.
    :param get_revision: returns the offset of the last log record applied.
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
        self.channels: dict[str, SidecarChannel] = {}
        self.last_hello_s = float("-inf")
        self.leaving = False

    async def run(self, group: TaskGroup) -> None:
        """Open, replace and close channels and send heartbeats until cancelled.

        :param group: task group that the channels run in.
        """
        interval_s = self.settings.peers.heartbeat_s
        try:
            while True:
                self.update_channels(group)
                sleep_started_s = self.clock.monotonic()
                await anyio.sleep(interval_s)
                self.handle_pause(self.clock.monotonic() - sleep_started_s - interval_s)
        finally:
            for endpoint in list(self.channels):
                self.close(endpoint)

    def handle_pause(self, delay_s: float) -> None:
        """Report a pause of this process to the membership.

        Otherwise the sidecars would seem to have been silent during the pause, and
        requests would be refused because no endpoint is usable.

        :param delay_s: delay of the wake-up in seconds.
        """
        if delay_s > MIN_PAUSE_S:
            logging.warning("[entry] Process was paused. seconds=%.2f", delay_s)
            self.membership.observe_pause(delay_s)

    def update_channels(self, group: TaskGroup) -> None:
        """Open and close channels to match the subset and send due heartbeats.

        :param group: task group that the channels run in.
        """
        now_s = self.clock.monotonic()
        subset = set(self.membership.choose_subset(now_s))
        for endpoint in list(self.channels):
            if endpoint not in subset or self.is_stale(now_s, self.channels[endpoint]):
                self.close(endpoint)
        for endpoint in subset - self.channels.keys():
            self.open(group, now_s, endpoint)
        interval_s = HELLO_INTERVAL_HEARTBEATS * self.settings.peers.heartbeat_s
        if now_s - self.last_hello_s >= interval_s:
            self.last_hello_s = now_s
            self.send_hello_to_all()

    def is_stale(self, now_s: float, channel: SidecarChannel) -> bool:
        """Return whether a channel should be closed and opened again.

        This is the case if the sidecar has another address or has been silent for a
        long time.

        :param now_s: current time in seconds.
        :param channel: the channel.
        """
        member = self.membership.members.get(channel.endpoint)
        if member is None or member.control_address != channel.dialer.address:
            return True
        max_silence_s = REDIAL_SUSPECT_PERIODS * self.settings.peers.suspect_s
        is_silent = self.membership.is_silent(now_s, channel.endpoint)
        return is_silent and now_s - channel.opened_s > max_silence_s

    def open(self, group: TaskGroup, now_s: float, endpoint: str) -> None:
        """Open a channel.

        :param group: task group that the channel runs in.
        :param now_s: current time in seconds.
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
        channel = SidecarChannel(endpoint, dialer, now_s)
        self.channels[endpoint] = channel
        group.start_soon(channel.run)
        self.send_hello(channel)

    def close(self, endpoint: str) -> None:
        """Close a channel.

        :param endpoint: endpoint name.
        """
        self.channels.pop(endpoint).close()

    def send_hello_to_all(self) -> None:
        """Send a heartbeat on every channel."""
        for channel in self.channels.values():
            self.send_hello(channel)

    def send_hello(self, channel: SidecarChannel) -> None:
        """Send a heartbeat and the records that the sidecar has not read yet.

        :param channel: the channel.
        """
        hello = EntryHello(
            entry=self.settings.name,
            incarnation=self.incarnation,
            revision=self.get_revision(),
            leaving=self.leaving,
        )
        channel.enqueue(hello)
        self.send_missing_records(channel)

    def send_missing_records(self, channel: SidecarChannel) -> None:
        """Send a sidecar the records that it has not read yet.

        A message without records tells the sidecar that it is up to date. Sidecars of
        services are skipped, because they read another stream of the log.

        :param channel: the channel.
        """
        member = self.membership.members.get(channel.endpoint)
        if member is None or member.report is None:
            return
        if member.report.kind != "engine":
            return
        offset = max(channel.next_feed_offset, member.report.revision + 1)
        message = self.buffer.build_feed(offset)
        if message is not None:
            channel.next_feed_offset = offset + len(message.records)
            channel.enqueue(message)

    def on_records(self, entries: Sequence[LogEntry]) -> None:
        """Buffer new records and forward them to the sidecars of engines.

        :param entries: records in log order.
        """
        self.buffer.extend(entries)
        for channel in self.channels.values():
            self.send_missing_records(channel)

    def on_revision(self, endpoint: str, revision: int) -> None:
        """Let the next message repeat the records that a sidecar has not applied.

        Records may be lost, because a full queue drops messages.

        :param endpoint: endpoint name.
        :param revision: offset of the last log record that the sidecar applied.
        """
        channel = self.channels.get(endpoint)
        if channel is None:
            return
        if revision + 1 < self.buffer.next_offset:
            channel.next_feed_offset = 0

    def send_demand(self, demands: Sequence[PoolDemand]) -> None:
        """Send the demand of each pool to the sidecars of its endpoints.

        :param demands: demand that the entry measured per pool and request class.
        """
        demands_by_pool: dict[str, list[PoolDemand]] = {}
        for demand in demands:
            demands_by_pool.setdefault(demand.pool, []).append(demand)
        for endpoint, channel in self.channels.items():
            member = self.membership.members.get(endpoint)
            for demand in demands_by_pool.get(member.pool, ()) if member else ():
                channel.enqueue(demand)
