"""Following of the configuration and of the registry of engines."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from jasminewalk.exceptions import BadConfigurationError, LogUnavailableError
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.platform.configuration import (
    ServingConfiguration,
    decode_configuration,
)
from jasminewalk.platform.store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    REGISTRY_TOPIC,
    RecordsGoneError,
    RecordsPage,
    StoreClient,
)

__all__ = ["ConfigurationFollower", "RegistryFollower", "TopicFollower"]

# Seconds between calls while the store does not answer well, doubled up to the longest.
RETRY_S, LONGEST_RETRY_S = 0.1, 0.4
# Seconds a read of the configuration waits for a change at the store.
CONFIGURATION_WAIT_S = 1.0
# Seconds between two reads of the registry; engines may get no work 2 s after leaving.
REGISTRY_PERIOD_S = 0.6


class TopicFollower:
    """Reads one keyed topic, from its newest records on.

    :param topic: the topic.
    :param store: the metadata store.
    :param log: decision log.
    :param clock: returns the current instant in seconds.
    :param wait_s: seconds a read waits at the store for a change.
    :param period_s: seconds between two reads.
    """

    def __init__(
        self,
        topic: str,
        store: StoreClient,
        log: DecisionLog,
        clock: Callable[[], float],
        wait_s: float,
        period_s: float,
    ) -> None:
        self.topic = topic
        self.store = store
        self.log = log
        self.clock = clock
        self.wait_s = wait_s
        self.period_s = period_s
        self.offset: int | None = None
        self.failing_since: float | None = None
        self.wanted = asyncio.Event()
        self.on_return: Callable[[], None] = lambda: None
        self.read_at = float("-inf")

    async def run(self) -> None:
        """Read forever."""
        retry_s = RETRY_S
        while True:
            try:
                await self.read_once()
            except (LogUnavailableError, OSError, TimeoutError) as error:
                self._failed(error)
                await asyncio.sleep(retry_s * random.uniform(0.8, 1.2))
                retry_s = min(LONGEST_RETRY_S, 2 * retry_s)
                continue
            retry_s = RETRY_S
            if self.period_s > 0:
                await self._pause()

    async def read_once(self) -> None:
        """Read once and take what was read.

        :raises LogUnavailableError: if the store does not answer well.
        """
        if self.offset is None:
            page = await self.store.read_newest(self.topic)
            self._succeeded()
            self.take_newest(page)
        else:
            try:
                page = await self.store.read_from(self.topic, self.offset, self.wait_s)
            except RecordsGoneError:
                self.log.info("records_gone", topic=self.topic, offset=self.offset)
                self.offset = None
                await self.read_once()
                return
            self._succeeded()
            self.take_changes(page)
        self.offset = page.next_offset
        for detail in page.unreadable:
            self.log.warning("record_unreadable", topic=self.topic, detail=detail)

    def take_newest(self, page: RecordsPage) -> None:
        """Take the newest record of each key.

        :param page: the records.
        """
        raise NotImplementedError

    def take_changes(self, page: RecordsPage) -> None:
        """Take records in the order of the topic.

        :param page: the records.
        """
        raise NotImplementedError

    def _failed(self, error: Exception) -> None:
        if self.failing_since is None:
            self.failing_since = self.clock()
            self.log.warning("store_lost", topic=self.topic, reason=repr(error))

    def _succeeded(self) -> None:
        self.read_at = self.clock()
        if self.failing_since is not None:
            outage_s = self.clock() - self.failing_since
            self.failing_since = None
            self.log.info(
                "store_regained", topic=self.topic, outage_s=round(outage_s, 2)
            )
            self.on_return()

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(self.period_s):
                await self.wanted.wait()
        except TimeoutError:
            pass  # the period has passed
        self.wanted.clear()


class ConfigurationFollower(TopicFollower):
    """Follows the configuration that the operator publishes.

    :param apply: puts a newer configuration in force.
    """

    def __init__(
        self,
        store: StoreClient,
        log: DecisionLog,
        clock: Callable[[], float],
        apply: Callable[[ServingConfiguration], None],
    ) -> None:
        super().__init__(
            CONFIGURATION_TOPIC, store, log, clock, CONFIGURATION_WAIT_S, 0.0
        )
        self.apply = apply
        self.version = -1

    def take_newest(self, page: RecordsPage) -> None:
        """Take the newest configuration."""
        self.take_changes(page)

    def take_changes(self, page: RecordsPage) -> None:
        """Take the last configuration among the records."""
        for record in reversed(page.records):
            if record.key == CONFIGURATION_KEY and record.value is not None:
                self._take(record.value)
                return

    def _take(self, text: bytes) -> None:
        try:
            configuration = decode_configuration(text)
        except BadConfigurationError as error:
            self.log.warning("configuration_unreadable", detail=str(error))
            return
        if configuration.version <= self.version:
            return
        self.version = configuration.version
        self.apply(configuration)


class RegistryFollower(TopicFollower):
    """Follows the registry in which engines list themselves.

    :param fleet: takes the entries.
    """

    def __init__(
        self,
        store: StoreClient,
        log: DecisionLog,
        clock: Callable[[], float],
        fleet: Fleet,
    ) -> None:
        super().__init__(REGISTRY_TOPIC, store, log, clock, 0.0, REGISTRY_PERIOD_S)
        self.fleet = fleet

    def take_newest(self, page: RecordsPage) -> None:
        """Take the newest entry of each engine."""
        self._log(self.fleet.replace(self.clock(), page.records))

    def take_changes(self, page: RecordsPage) -> None:
        """Take changes of the registry."""
        self._log(self.fleet.update(self.clock(), page.records))
        self._log(self.fleet.expire(self.clock()))

    def _log(self, events: Any) -> None:
        for event in events:
            self.log.info(event.event, engine=event.engine, detail=event.detail)
