"""Tests of the operator commands against a deployment in one process."""

from pathlib import Path

import attrs
import pytest

from jasminewalk.demo.deployment import (
    EntryPlan,
    build_escuela_plan,
    run_embedded_deployment,
)
from jasminewalk.exceptions import (
    LogUnavailableError,
    NotInForceError,
    UnknownRequestError,
)
from jasminewalk.generated_load import LoadKind, LoadPhase, LoadPlan
from jasminewalk.generated_requests import Instance
from jasminewalk.generated_settings import LogSettings, OperatorSettings
from jasminewalk.generated_standins import LogFaults
from jasminewalk.loads.load import LoadDriver
from jasminewalk.operators.inspection import explain_request, read_status
from jasminewalk.operators.publish import PublishOptions, publish_file
from jasminewalk.transport._http import build_url, open_http_pool

EXAMPLE = Path(__file__).resolve().parent.parent / "examples/escuela/configuration.yaml"
PLAN = attrs.evolve(
    build_escuela_plan(),
    entries=[EntryPlan(name="entry-0", failure_domain="norte-oviedo")],
    endpoints=[
        endpoint
        for endpoint in build_escuela_plan().endpoints
        if endpoint.name in ("tutor-0", "enrolment-0")
    ],
)


@pytest.fixture
async def deployment(anyio_backend):
    async with run_embedded_deployment(PLAN) as deployment:
        await deployment.wait_until_usable()
        yield deployment


@pytest.fixture
def settings(deployment):
    return OperatorSettings(
        log=LogSettings(address=deployment.log.address, timeout_s=0.5),
        instances_address=deployment.instances.address,
        author="luz",
    )


@pytest.fixture
def publish(settings):
    async def run(file=EXAMPLE, operator=settings, **options):
        lines = []
        options = PublishOptions(file=str(file), **options)
        await publish_file(operator, options, lines.append)
        return lines

    return run


async def test_publish_then_status_and_explain(deployment, settings, publish):
    dry_run_lines = await publish(dry_run=True)
    assert "Dry run: 7 changes, nothing was published." in dry_run_lines
    assert (await publish(reason="first courses"))[-1].startswith(
        "In force on all live instances: 1 entry and 1 engine."
    )
    status = await read_status(settings, 3)
    assert status.problems == []
    assert status.revision == status.log_revision
    assert [change.author for change in status.changes] == ["luz"] * 3
    assert {change.reason for change in status.changes} == {"first courses"}

    address = deployment.entries["entry-0"].address
    path = "/organisations/asturias/services/timetable/courses"
    async with open_http_pool() as pool:
        response = await pool.request("GET", build_url(address, path))
    assert response.status == 200
    request_id = dict(response.headers)[b"request-id"].decode()
    entry, trace = await explain_request(settings, request_id)
    assert (entry, trace.outcome) == ("entry-0", "ok")
    assert trace.attempts[0].endpoint == "enrolment-0"
    for unknown in ("no-such-request", "a b?c#d/../status"):
        with pytest.raises(UnknownRequestError):
            await explain_request(settings, unknown)


async def test_publish_retries_lost_responses_and_reports_an_outage(
    deployment, publish
):
    deployment.log.faults = LogFaults(lose_answers=3)
    assert (await publish())[-1].startswith("In force on all live instances")
    assert "Nothing to publish: the log already has these documents." in await publish()
    deployment.log.faults = LogFaults(outage=True)
    with pytest.raises(LogUnavailableError, match="nothing was published"):
        await publish()


async def test_error_names_an_instance_that_does_not_respond(
    deployment, settings, publish
):
    instance = Instance(
        name="entry-9",
        kind="entry",
        address="127.0.0.1:1",
        control_address="127.0.0.1:1",
        state="live",
    )
    deployment.instances.put("entry-9", instance)
    short_timeout = attrs.evolve(settings, in_force_timeout_s=0.5)
    with pytest.raises(NotInForceError, match=r"entry-9 \(silent, revision 0\)"):
        await publish(operator=short_timeout)
    deployment.instances.put("entry-9", None)
    assert (await publish())[-1].startswith("In force on all live instances")


async def test_daemon_is_not_ready_while_it_stops(deployment):
    entry = deployment.entries["entry-0"]
    async with open_http_pool() as pool:
        url = build_url(entry.control_address, "/readyz")
        assert (await pool.request("GET", url)).status == 200
        entry.stopping = True
        assert (await pool.request("GET", url)).status == 503
        entry.stopping = False


async def test_load_result_counts_every_request(deployment, publish):
    await publish()
    kinds = {
        "helper": LoadKind(
            organisations=["asturias"],
            model="quick-helper",
            max_tokens=5,
            deadline_s=30,
        ),
        "booking": LoadKind(
            organisations=["asturias"],
            service="enrolment",
            method="POST",
            path="/bookings",
            keyed=True,
            deadline_s=30,
        ),
        "nobody": LoadKind(
            organisations=["nobody"], service="enrolment", deadline_s=30
        ),
    }
    shares = dict.fromkeys(kinds, 1.0)
    phase = LoadPhase(name="one", duration_s=0.5, requests_per_s=40, shares=shares)
    address = deployment.entries["entry-0"].address
    plan = LoadPlan(entries=[address], kinds=kinds, phases=[phase])
    async with open_http_pool() as pool:
        driver = LoadDriver(plan, pool, print)
        await driver.run()
    result = driver.tally.build_result("plan")
    for name in ("helper", "booking"):
        kind = result.kinds[name]
        assert 0 < kind.due == kind.answered == kind.in_time
    helper, nobody = result.kinds["helper"], result.kinds["nobody"]
    assert 0 < helper.output_tokens <= 5 * helper.due
    assert nobody.refused == {"1201 unknown_organisation": nobody.due}
    runs = deployment.services["enrolment-0"].get_counts()
    assert sum(runs.values()) == result.kinds["booking"].due
