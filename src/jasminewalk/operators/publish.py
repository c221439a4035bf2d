"""Publication of configuration: append records, read them back, wait for effect."""

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
    ConfigurationChange,
    Publication,
    build_view,
    plan_changes,
    raise_conflicts,
)
from jasminewalk.operators.status import FleetStatus, StatusReader, build_fleet_status
from jasminewalk.operators.text_tables import pluralize
from jasminewalk.transport._http import open_http_pool
from jasminewalk.transport.instances_client import HttpInstanceList

__all__ = ["PublishOptions", "Publisher", "publish_file"]

READ_WAIT_S = 0.2
IN_FORCE_POLL_S = 0.2
IN_FORCE_POLL_MAX_S = 2.0
APPENDS_PER_S = 100.0
APPEND_BURST = 50
MAX_PRINTED_CHANGES = 40

Printer = Callable[[str], None]


@attrs.frozen(kw_only=True)
class PublishOptions:
    """Options of the ``publish`` command.

    :param file: YAML file, or directory of YAML files.
    :param dry_run: whether to show the changes without publishing them.
    :param base: last revision that the operator has seen; None for the newest.
    :param reason: why the configuration is published; stored on the log.
    :param wait: whether to wait until the configuration is in force everywhere.
    """

    file: str
    dry_run: bool = False
    base: int | None = None
    reason: str = ""
    wait: bool = True


class Publisher:
    """Appends the records of a publication until each has been read back.

    :param log: the platform's log.
    :param reader: reader of the same log, at its tail.
    :param publication: changes to append.
    :param clock: source of time.
    :param rng: random source for jitter.
    :param response_timeout_s: seconds after which a response counts as lost.
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
        """Append all records and wait until each has been read back.

        :param timeout_s: maximum seconds without progress.
        :raises ConfigurationConflictError: if a change was rejected because its
            subject has a newer revision.
        :raises LogUnavailableError: if a record was not read back in time.
        """
        accepted_count = 0
        give_up_s = self.clock.monotonic() + timeout_s
        async with anyio.create_task_group() as group:
            while not self.publication.is_finished:
                now_s = self.clock.monotonic()
                if len(self.publication.accepted) > accepted_count:
                    accepted_count = len(self.publication.accepted)
                    give_up_s = now_s + timeout_s
                if now_s >= give_up_s:
                    break
                await self.step(group, now_s)
            group.cancel_scope.cancel()
        raise_conflicts(self.publication.conflicts)
        if not self.publication.is_finished:
            raise self.build_unconfirmed_error()

    async def step(self, group: TaskGroup, now_s: float) -> None:
        """Send the appends that are due and read new records.

        :param group: task group that runs the appends.
        :param now_s: current time in seconds.
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
        """Append one record and report the result to the writer.

        :param action: the append to send.
        """
        try:
            offset = await self.log.append(action.data)
        except LogUnavailableError:
            self.writer.record_failure(self.clock.monotonic(), action.record_id)
        else:
            self.writer.record_response(action.record_id, offset)

    async def read(self) -> None:
        """Read new records and record the outcome of the publication's changes."""
        try:
            applied_records = await self.reader.read(READ_WAIT_S)
        except LogUnavailableError:
            await anyio.sleep(READ_WAIT_S)
            return
        for applied in applied_records:
            self.writer.record_read_back(getattr(applied.record, "record_id", ""))
            for event in applied.events:
                self.publication.handle_event(event)

    def build_unconfirmed_error(self) -> LogUnavailableError:
        """Return the error for changes that were not read back in time."""
        subjects = [change.subject for change in self.publication.pending.values()]
        shown = ", ".join(subjects[:5]) + (", ..." if len(subjects) > 5 else "")
        return LogUnavailableError(
            f"{shown}: the log did not confirm the change in time, and it may still "
            "take effect. Run the same command again; it skips documents in force.",
            ran="unknown",
        )


async def publish_file(
    settings: OperatorSettings, options: PublishOptions, printer: Printer
) -> None:
    """Publish a configuration file and print the changes and their effect.

    :param settings: settings of the operator commands.
    :param options: options of the ``publish`` command.
    :param printer: function called with each line of output.
    :raises BadConfigurationError: if a document is not valid, alone or together with
        the configuration in force.
    :raises ConfigurationConflictError: if another change was accepted first.
    :raises LogUnavailableError: if the log did not respond in time.
    :raises NotInForceError: if a live instance did not apply the revision in time, or
        if the status of no entry could be read.
    """
    documents = read_configuration(options.file)
    async with open_http_pool() as pool:
        log = HttpLog(pool, settings.log.address, settings.log.timeout_s)
        reader = LogReader(log)
        await read_log(settings, reader)
        check_documents(documents, build_view(reader.fold))
        changes = plan_changes(documents, reader.fold, options.base)
        for change in changes[:MAX_PRINTED_CHANGES]:
            printer(change.summary)
            if options.dry_run:
                printer(change.diff())
        if len(changes) > MAX_PRINTED_CHANGES:
            printer(f"... and {len(changes) - MAX_PRINTED_CHANGES} further changes")
        if options.dry_run:
            base = reader.fold.next_offset - 1
            change_count = pluralize(len(changes), "change")
            printer(f"Dry run: {change_count}, nothing was published.")
            printer(f"To publish exactly these changes: --base={base}")
            return
        revision = await append_changes(settings, options, reader, changes)
        if not changes:
            subjects = [document.subject for document in documents]
            entries = [reader.fold.get_subject(subject) for subject in subjects]
            revision = max((entry.revision for entry in entries if entry), default=0)
            printer("Nothing to publish: the log already has these documents.")
        else:
            change_count = pluralize(len(changes), "change")
            printer(f"Published {change_count}. revision={revision}")
        if options.wait:
            instance_list = HttpInstanceList(pool, settings.instances_address)
            status_reader = StatusReader(pool, instance_list, settings.status_timeout_s)
            await wait_in_force(
                status_reader, revision, settings.in_force_timeout_s, printer
            )


async def read_log(settings: OperatorSettings, reader: LogReader) -> None:
    """Read the log up to its tail.

    :param settings: settings of the operator commands.
    :param reader: reader of the log.
    :raises LogUnavailableError: if the log did not respond in time.
    """
    try:
        await reader.read_to_tail(settings.publish_timeout_s)
    except LogUnavailableError as error:
        raise LogUnavailableError(
            f"The log at {settings.log.address} does not respond, and nothing was "
            f"published: {error.detail}",
            ran="not_run",
        ) from error


async def append_changes(
    settings: OperatorSettings,
    options: PublishOptions,
    reader: LogReader,
    changes: list[ConfigurationChange],
) -> int:
    """Append changes to the log and return the highest revision accepted.

    :param settings: settings of the operator commands.
    :param options: options of the ``publish`` command.
    :param reader: reader of the log, at its tail.
    :param changes: changes in the order in which to publish them.
    :raises ConfigurationConflictError: if another change was accepted first.
    :raises LogUnavailableError: if a record was not read back in time.
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
    """Wait until every live instance has applied a revision.

    :param reader: reader of the fleet's status.
    :param revision: revision to wait for.
    :param timeout_s: maximum seconds to wait.
    :param printer: function called with each line of output.
    :raises NotInForceError: if a live instance did not apply the revision in time, or
        if the status of no entry could be read.
    """
    status: FleetStatus | None = None
    poll_s = IN_FORCE_POLL_S
    with anyio.move_on_after(timeout_s):
        while True:
            with contextlib.suppress(OSError):
                instances, statuses = await reader.read()
                status = build_fleet_status(
                    instances, statuses, changes=[], log_revision=revision
                )
                if status.entries and not list_outdated_instances(status, revision):
                    printer(format_in_force_line(status, revision))
                    return
            await anyio.sleep(poll_s)
            poll_s = min(IN_FORCE_POLL_MAX_S, poll_s * 2)
    if status is None or not status.entries:
        raise NotInForceError(
            f"Revision {revision} is accepted, but the instance list has no entry "
            "whose status could be read."
        )
    outdated = list_outdated_instances(status, revision)
    raise NotInForceError(
        f"Revision {revision} is accepted, but not in force on {', '.join(outdated)} "
        f"after {timeout_s:g} s. It takes effect there once they read the log."
    )


def list_outdated_instances(status: FleetStatus, revision: int) -> list[str]:
    """Return the instances that have yet to apply a revision.

    An engine without a recent report gets no requests, and it reads the log before it
    gets any again. It is therefore left out.

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
    """Return a line that says on how many instances a revision is in force.

    :param status: state of the fleet.
    :param revision: the revision.
    """
    entries = sum(row.state != "leaving" for row in status.entries)
    engines = [row for row in status.endpoints if row.revision is not None]
    live_engines = sum(row.state not in ("leaving", "silent") for row in engines)
    silent = [row.name for row in engines if row.state == "silent"]
    line = (
        f"In force on all live instances: {pluralize(entries, 'entry', 'entries')} "
        f"and {pluralize(live_engines, 'engine')}. revision={revision}"
    )
    if silent:
        line += f" Silent engines, which get no requests: {', '.join(silent)}."
    return line
