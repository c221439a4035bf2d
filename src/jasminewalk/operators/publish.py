"""Publishing of a configuration: append, read back, wait until in force."""

import contextlib
import getpass
import random
from collections.abc import Callable

import anyio
import attrs
from anyio.abc import TaskGroup

from jasminewalk.agreement.log_client import HttpLog
from jasminewalk.agreement.log_reader import LogReader
from jasminewalk.agreement.log_writer import LogWriter, LogWriterSettings, SendAppend
from jasminewalk.clock import Clock, SystemClock
from jasminewalk.exceptions import LogUnavailableError, NotInForceError
from jasminewalk.generated_settings import OperatorSettings
from jasminewalk.interfaces import Log
from jasminewalk.operators.configuration_checks import check_documents
from jasminewalk.operators.configuration_files import read_configuration
from jasminewalk.operators.publication import (
    Change,
    Publication,
    build_view,
    plan_changes,
    raise_conflicts,
)
from jasminewalk.operators.status import FleetStatus, StatusReader, build_fleet_status
from jasminewalk.operators.text_tables import pluralize
from jasminewalk.transport._http import http_client
from jasminewalk.transport.instances_client import HttpInstanceList

__all__ = ["PublishOptions", "Publisher", "publish_file"]

READ_WAIT_S = 0.2
IN_FORCE_POLL_S = 0.2
IN_FORCE_POLL_MAX_S = 2.0
APPENDS_PER_S = 100.0
APPEND_BURST = 50
MAX_DIFFS = 40

Printer = Callable[[str], None]


@attrs.frozen(kw_only=True)
class PublishOptions:
    """What an operator asks for.

    :param file: YAML file or directory of them.
    :param dry_run: whether only to show what would change.
    :param base: last revision that the operator has seen; nothing for the newest.
    :param reason: why, for the log.
    :param wait: whether to wait until it is in force everywhere.
    """

    file: str
    dry_run: bool = False
    base: int | None = None
    reason: str = ""
    wait: bool = True


class Publisher:
    """Appends the records of a publication until each was read back.

    :param log: the platform's log.
    :param reader: reader of the same log, at its tail.
    :param publication: what to append.
    :param clock: source of time.
    :param rng: random source for jitter.
    :param response_timeout_s: seconds after which an answer counts as lost.
    """

    def __init__(
        self,
        *,
        log: Log,
        reader: LogReader,
        publication: Publication,
        clock: Clock,
        rng: random.Random,
        response_timeout_s: float,
    ) -> None:
        self.log = log
        self.reader = reader
        self.publication = publication
        self.clock = clock
        settings = LogWriterSettings(
            response_timeout_s=response_timeout_s,
            appends_per_s=APPENDS_PER_S,
            burst=APPEND_BURST,
        )
        self.writer = LogWriter(settings, rng)

    async def run(self, timeout_s: float) -> None:
        """Append all records.

        :param timeout_s: longest time without progress in seconds.
        :raises ConfigurationConflictError: if a change lost against another one.
        :raises LogUnavailableError: if a record was not read back in time.
        """
        accepted = 0
        give_up_s = self.clock.monotonic() + timeout_s
        async with anyio.create_task_group() as group:
            while not self.publication.is_finished:
                now_s = self.clock.monotonic()
                if len(self.publication.accepted) > accepted:
                    accepted = len(self.publication.accepted)
                    give_up_s = now_s + timeout_s
                if now_s >= give_up_s:
                    break
                await self.step(group, now_s)
            group.cancel_scope.cancel()
        raise_conflicts(self.publication.conflicts)
        if not self.publication.is_finished:
            raise self.build_unconfirmed_error()

    async def step(self, group: TaskGroup, now_s: float) -> None:
        """Send what is due and read what the log has.

        :param group: task group for the appends.
        :param now_s: current instant in seconds.
        """
        actions = []
        for record in self.publication.take_next_records():
            actions += self.writer.submit(now_s, record)
        actions += self.writer.tick(now_s)
        for action in actions:
            if isinstance(action, SendAppend):
                group.start_soon(self.append, action)
        await self.read()

    async def append(self, action: SendAppend) -> None:
        """Append one record.

        :param action: the record.
        """
        try:
            offset = await self.log.append(action.data)
        except LogUnavailableError:
            self.writer.record_failure(self.clock.monotonic(), action.record_id)
        else:
            self.writer.record_response(action.record_id, offset)

    async def read(self) -> None:
        """Read new records and note what became of the publication's own."""
        try:
            folded = await self.reader.read(READ_WAIT_S)
        except LogUnavailableError:
            await anyio.sleep(READ_WAIT_S)
            return
        for record in folded:
            self.writer.record_read_back(getattr(record.record, "record_id", ""))
            for event in record.events:
                self.publication.handle_event(event)

    def build_unconfirmed_error(self) -> LogUnavailableError:
        """Return the error for records that were not read back in time."""
        subjects = [change.subject for change in self.publication.pending.values()]
        shown = ", ".join(subjects[:5]) + (", ..." if len(subjects) > 5 else "")
        return LogUnavailableError(
            f"{shown}: the log did not confirm the change in time, and it may still "
            "take effect. Run the same command again; what is in force is left alone.",
            ran="unknown",
        )


async def publish_file(
    settings: OperatorSettings, options: PublishOptions, printer: Printer
) -> None:
    """Publish a configuration file and say when it is in force.

    :param settings: how to reach the platform.
    :param options: what the operator asks for.
    :param printer: receiver of lines for the operator.
    :raises BadConfigurationError: if the file or its effect is not valid.
    :raises ConfigurationConflictError: if another change was accepted first.
    :raises LogUnavailableError: if the log does not answer.
    :raises NotInForceError: if it is not in force everywhere in time.
    """
    documents = read_configuration(options.file)
    async with http_client() as pool:
        log = HttpLog(pool, settings.log.address, settings.log.timeout_s)
        reader = LogReader(log)
        await read_log(settings, reader)
        check_documents(documents, build_view(reader.fold))
        changes = plan_changes(documents, reader.fold, options.base)
        for change in changes[:MAX_DIFFS]:
            printer(change.summary)
            if options.dry_run:
                printer(change.diff())
        if len(changes) > MAX_DIFFS:
            printer(f"... and {len(changes) - MAX_DIFFS} further changes")
        if options.dry_run:
            base = reader.fold.next_offset - 1
            found = pluralize(len(changes), "change")
            printer(f"Dry run: {found}, nothing was published.")
            printer(f"To publish just this: --base={base}")
            return
        revision = await append_changes(settings, options, reader, changes)
        if not changes:
            subjects = [document.subject for document in documents]
            entries = [reader.fold.get_subject(subject) for subject in subjects]
            revision = max((entry.revision for entry in entries if entry), default=0)
            printer("Nothing to publish: the log has all of it already.")
        else:
            found = pluralize(len(changes), "change")
            printer(f"Published {found}. revision={revision}")
        if options.wait:
            instances = HttpInstanceList(pool, settings.instances_address)
            status = StatusReader(pool, instances, settings.status_timeout_s)
            await wait_in_force(status, revision, settings.in_force_timeout_s, printer)


async def read_log(settings: OperatorSettings, reader: LogReader) -> None:
    """Read the log to its end.

    :param settings: how to reach the log.
    :param reader: reader of the log.
    :raises LogUnavailableError: if the log does not answer.
    """
    try:
        await reader.read_to_tail(settings.publish_timeout_s)
    except LogUnavailableError as error:
        raise LogUnavailableError(
            f"The log at {settings.log.address} does not answer, and nothing was "
            f"published: {error.detail}",
            ran="not_run",
        ) from error


async def append_changes(
    settings: OperatorSettings,
    options: PublishOptions,
    reader: LogReader,
    changes: list[Change],
) -> int:
    """Append changes and return the revision of the last one.

    :param settings: how to reach the platform.
    :param options: what the operator asks for.
    :param reader: reader of the log, at its tail.
    :param changes: what to change.
    """
    rng = random.SystemRandom()
    publication = Publication(
        changes,
        fold=reader.fold,
        author=settings.author or getpass.getuser(),
        reason=options.reason,
        rng=rng,
    )
    publisher = Publisher(
        log=reader.log,
        reader=reader,
        publication=publication,
        clock=SystemClock(),
        rng=rng,
        response_timeout_s=settings.log.timeout_s,
    )
    await publisher.run(settings.publish_timeout_s)
    return publication.revision


async def wait_in_force(
    reader: StatusReader, revision: int, timeout_s: float, printer: Printer
) -> None:
    """Wait until every live instance has a revision in force.

    :param reader: reader of the fleet's status.
    :param revision: the revision.
    :param timeout_s: longest wait in seconds.
    :param printer: receiver of lines for the operator.
    :raises NotInForceError: if some instances do not have it in time.
    """
    status: FleetStatus | None = None
    poll_s = IN_FORCE_POLL_S
    with anyio.move_on_after(timeout_s):
        while True:
            with contextlib.suppress(OSError):
                rows, statuses = await reader.read()
                status = build_fleet_status(
                    rows, statuses, changes=[], log_revision=revision
                )
                if status.entries and not list_outdated_instances(status, revision):
                    printer(format_in_force_line(status, revision))
                    return
            await anyio.sleep(poll_s)
            poll_s = min(IN_FORCE_POLL_MAX_S, poll_s * 2)
    if status is None or not status.entries:
        raise NotInForceError(
            f"Revision {revision} is accepted, but the instance list names no entry "
            "that could be asked."
        )
    names = list_outdated_instances(status, revision)
    raise NotInForceError(
        f"Revision {revision} is accepted, but not in force on {', '.join(names)} "
        f"after {timeout_s:g} s. It will be once they read the log."
    )


def list_outdated_instances(status: FleetStatus, revision: int) -> list[str]:
    """Return the live instances that do not have a revision in force.

    An engine that no entry hears gets no work, and it reads the log before it gets
    any again, so it is not waited for.

    :param status: state of the fleet.
    :param revision: the revision.
    """
    rows = [(row.name, row.state, row.revision) for row in status.entries]
    rows += [
        (row.name, row.state, row.revision)
        for row in status.endpoints
        if row.revision is not None and row.state != "silent"
    ]
    return [
        f"{name} ({state}, revision {found})"
        for name, state, found in rows
        if state != "leaving" and found < revision
    ]


def format_in_force_line(status: FleetStatus, revision: int) -> str:
    """Return the line that says where a revision is in force.

    :param status: state of the fleet.
    :param revision: the revision.
    """
    entries = sum(row.state != "leaving" for row in status.entries)
    engines = [row for row in status.endpoints if row.revision is not None]
    live = sum(row.state not in ("leaving", "silent") for row in engines)
    silent = [row.name for row in engines if row.state == "silent"]
    line = (
        f"In force on all live instances: {pluralize(entries, 'entry', 'entries')} "
        f"and {pluralize(live, 'engine')}. revision={revision}"
    )
    if silent:
        line += f" Silent, and without work: {', '.join(silent)}."
    return line
