"""Tasks that exchange counts of usage with other gateways, and report them."""

import asyncio
from collections.abc import Callable

import attrs
import msgspec

from jasminewalk.decoding import Count, Number, decode_msgpack
from jasminewalk.exceptions import BadMessageError, LogUnavailableError
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.duties.lease_group import (
    MAX_CANDIDATES,
    LeaseGroup,
    read_boot_clock,
)
from jasminewalk.gateway.duties.usage_counter import UsageCounter
from jasminewalk.gateway.duties.usage_ledger import UsageLedger, WindowCounts
from jasminewalk.gateway.duties.usage_reports import Proposal, UsageReports
from jasminewalk.gateway.holder_lease import HolderLease
from jasminewalk.gateway.peers import PeerExchange
from jasminewalk.http1 import Exchange, ExchangeBrokenError, connect
from jasminewalk.platform.duties import encode_usage_report
from jasminewalk.platform.settings import DutySettings
from jasminewalk.platform.store import USAGE_TOPIC, StoreClient

__all__ = ["DATAGRAM_MARK", "UsageDuty", "UsageNews", "create_usage_duty"]

# First byte of the datagrams, which no other message of gateways begins with.
DATAGRAM_MARK = b"\x02"
# Seconds between two messages to the gateways that may report.
NEWS_INTERVAL_S = 0.5
# One message in this many has the counts of windows that are not final.
MESSAGES_PER_OPEN_COUNTS = 2
# Windows of which messages tell, and messages that tell of a final one.
TOLD_WINDOWS = 4
FINAL_ANNOUNCEMENTS = 3
# Seconds between two looks for something to report, and between two copies of the
# counts of other gateways in the store.
REPORT_INTERVAL_S = 0.25
COPY_INTERVAL_S = 2.0
# Timeouts of a call to the platform, in seconds.
CONNECT_TIMEOUT_S = 0.8
CALL_TIMEOUT_S = 2.0
# Seconds without a call to the platform after one that failed, doubled each time.
MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 1.2
MAX_RESPONSE_BYTES = 64 * 1024
OK = 200
# Statuses of a report that the platform will not take, and of calls that it may take
# later.
CALLER_ERRORS, TEMPORARY_ERRORS = range(400, 500), (408, 421, 429)
Rows = list[tuple[str, Count, list[WindowCounts]]]


class _News(msgspec.Struct, array_like=True, frozen=True):
    node: str
    started_ms: Count
    windows: list[WindowCounts]


class _Record(msgspec.Struct, array_like=True, frozen=True):
    """Record of the log.

    :param decided: windows, and the counts to report.
    :param rows: counts of incarnations of gateways, in case those who know them die.
    :param acknowledged: windows whose report the platform has.
    """

    decided: list[tuple[Number, dict[str, Count]]]
    rows: Rows
    acknowledged: list[Number] = []


_news_decoder = msgspec.msgpack.Decoder(_News)
_record_decoder = msgspec.msgpack.Decoder(_Record)


@attrs.define
class UsageNews:
    """Decides which counts to tell a gateway that may report.

    :param counter: counts of this gateway.
    :param number: number of the present message.
    :param told: what each gateway was last told of a window: how often that it is
        final, and the sum of its counts.
    """

    counter: UsageCounter
    number: int = 0
    told: dict[tuple[str, int], tuple[int, int]] = attrs.field(factory=dict)

    def collect(self, node: str) -> list[WindowCounts]:
        """Return the counts that a gateway has not been told often enough.

        :param node: name of its instance.
        """
        rows = []
        windows = self.counter.list_windows()[-TOLD_WINDOWS:]
        for window in windows:
            counts = self.counter.windows.get(window, {})
            is_final = self.counter.is_final(window)
            times, told_sum = self.told.get((node, window), (0, 0))
            present_sum = sum(counts.values())
            tells_open = self.number % MESSAGES_PER_OPEN_COUNTS == 0
            if is_final and times < FINAL_ANNOUNCEMENTS:
                times += 1
            elif is_final or present_sum == told_sum or not tells_open:
                continue
            self.told[node, window] = times, present_sum
            rows.append(WindowCounts(window, is_final, counts))
        for key in [key for key in self.told if key[1] < windows[0]]:
            del self.told[key]
        return rows


class UsageDuty:
    """Tells other gateways what this one counted, and reports for all of them.

    :param counter: counts of this gateway.
    :param reports: decides what to report.
    :param lease: lease that allows reporting.
    :param exchange: the other gateways.
    :param store: the metadata store.
    :param address: ``host:port`` of the platform's API.
    :param log: decision log.
    :param clock: returns the monotonic time in seconds.

    Its ``send`` sends a datagram to a gateway's address.
    """

    def __init__(
        self,
        counter: UsageCounter,
        reports: UsageReports,
        lease: HolderLease,
        exchange: PeerExchange,
        store: StoreClient,
        address: str,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> None:
        self.counter = counter
        self.reports = reports
        self.ledger: UsageLedger = reports.ledger
        self.lease = lease
        self.exchange = exchange
        self.store = store
        self.address = address
        self.log = log
        self.clock = clock
        self.news = UsageNews(counter)
        self.send: Callable[[str, bytes], None] = lambda address, data: None
        self.offset = 0
        self.was_read = False
        self.copied_at = float("-inf")
        self.is_failing = False
        self.call_from = float("-inf")
        self.pause_s = 0.0

    def receive(self, data: bytes) -> bool:
        """Apply a datagram of another gateway; return False if it is malformed.

        :param data: payload, which begins with the mark.
        """
        try:
            news = decode_msgpack(data[len(DATAGRAM_MARK) :], _news_decoder, "usage")
        except BadMessageError:
            return False
        self.ledger.apply(news.node, news.started_ms, news.windows)
        return True

    def forget_offsets(self) -> None:
        """Read the log from its first record, as the store is in a new era."""
        self.offset, self.was_read = 0, False
        self.reports.distrust_log()

    async def tell_forever(self) -> None:
        """Tell the gateways that may report what this one counted, until cancelled."""
        self.reports.start()
        while True:
            self.tell()
            await asyncio.sleep(NEWS_INTERVAL_S)

    def tell(self) -> None:
        """Tell the gateways that may report what this one counted."""
        exchange = self.exchange
        self.news.number += 1
        for node, address in exchange.list_first(self.clock(), MAX_CANDIDATES):
            windows = self.news.collect(node)
            if windows and node == exchange.node:
                self.ledger.apply(node, exchange.started_ms, windows)
            elif windows:
                news = _News(exchange.node, exchange.started_ms, windows)
                self.send(address, DATAGRAM_MARK + msgspec.msgpack.encode(news))

    async def report_forever(self) -> None:
        """Report what is due while this gateway has the duty, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            if not self.lease.may_order(read_boot_clock()):
                continue
            try:
                await self._record_counts()
                await self._report_unsent()
            except (LogUnavailableError, OSError, TimeoutError) as error:
                if not self.is_failing:
                    self.log.warning("usage_not_recorded", reason=repr(error))
                self.is_failing = True
                continue
            self.is_failing = False

    async def _report_unsent(self) -> None:
        """Report what the platform lacks; after a failure, wait before the next call.

        The oldest window is due first.
        """
        now = self.clock()
        if now < self.call_from:
            return
        for proposal in self.reports.list_unsent():
            if not await self._report(proposal):
                self.pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, 2 * self.pause_s))
                self.call_from = now + self.pause_s
                return
        self.pause_s = 0.0

    async def _record_counts(self) -> None:
        """Write to the log what is to be reported, then read what is decided."""
        if not self.was_read:
            await self._read_log()
        now = self.clock()
        proposal = self.reports.propose(self.exchange.list_starts(now))
        is_copy_due = now - self.copied_at >= COPY_INTERVAL_S
        if proposal is None and not is_copy_due:
            return
        rows: Rows = []
        if is_copy_due:
            self.copied_at = now
            open_windows = [
                window
                for window in self.counter.list_windows()[-TOLD_WINDOWS:]
                if window not in self.reports.decided
            ]
            rows = self.ledger.list_rows(open_windows)
        decided = [] if proposal is None else [(proposal.window, proposal.counts)]
        if not decided and not rows:
            return
        acknowledged = sorted(self.reports.acknowledged)
        record = msgspec.msgpack.encode(_Record(decided, rows, acknowledged))
        await self.store.append(USAGE_TOPIC, [record])
        if decided:
            await self._read_log()

    async def _read_log(self) -> None:
        while True:
            page = await self.store.read_contents(USAGE_TOPIC, self.offset)
            for content in page.contents:
                self._apply_record(content)
            self.offset = page.next_offset
            if self.offset >= page.end:
                self.was_read = True
                return

    def _apply_record(self, content: bytes) -> None:
        try:
            record = decode_msgpack(content, _record_decoder, "usage record")
        except BadMessageError as error:
            self.log.warning("usage_unreadable", reason=str(error))
            return
        for window, counts in record.decided:
            self.reports.apply_decided(window, counts)
        for window in record.acknowledged:
            self.reports.record_acknowledged(window)
        for node, started_ms, windows in record.rows:
            self.ledger.apply(node, started_ms, windows)

    async def _report(self, proposal: Proposal) -> bool:
        """Report a window; return whether the platform needs no other call for it."""
        try:
            status = await self._call(proposal)
        except (ExchangeBrokenError, TimeoutError) as error:
            self.log.warning(
                "usage_unanswered", window=proposal.window, reason=repr(error)
            )
            return False
        if status is None:
            return False
        is_final = status == OK or (
            status in CALLER_ERRORS and status not in TEMPORARY_ERRORS
        )
        if is_final:
            self.reports.record_acknowledged(proposal.window)
        since_end_s = self.counter.compute_since_end_s(proposal.window)
        self.log.info(
            "usage_reported",
            window=proposal.window,
            organisations=len(proposal.counts),
            requests=sum(proposal.counts.values()),
            since_end_s=round(since_end_s, 2),
            fence=self.lease.fencing_number,
            status=status,
        )
        return is_final

    async def _call(self, proposal: Proposal) -> int | None:
        """Return the status of the platform's response; None if nothing was sent."""
        connection = await connect(self.address, CONNECT_TIMEOUT_S, self.clock)
        exchange = Exchange(max_body_bytes=MAX_RESPONSE_BYTES)
        try:
            # Connecting takes time in which the lease may have lapsed.
            if not self.lease.may_order(read_boot_clock()):
                return None
            request = encode_usage_report(
                self.address,
                self.exchange.node,
                self.lease.fencing_number,
                proposal.window,
                proposal.counts,
            )
            connection.send(request, exchange)
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return (await exchange.head()).status
        finally:
            connection.abort()


def create_usage_duty(
    settings: DutySettings,
    counter: UsageCounter,
    leases: LeaseGroup,
    lease: HolderLease,
) -> UsageDuty | None:
    """Return the tasks that report usage; None if the platform wants no reports.

    :param settings: what the platform wants.
    :param counter: counts of this gateway.
    :param leases: renews the lease, with those on other duties.
    :param lease: lease that allows reporting.
    """
    if not settings.reports_usage:
        return None
    return UsageDuty(
        counter,
        UsageReports(counter, UsageLedger(), settings.usage_late_s),
        leases.add("usage", lease),
        leases.exchange,
        leases.store,
        settings.address,
        leases.log,
        leases.clock,
    )
