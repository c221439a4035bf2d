import pytest

from jasminewalk.generated_messages import LoadReport, PoolDemand, RecordFeed
from jasminewalk.generated_requests import Instance
from jasminewalk.generated_settings import EntrySettings, LogSettings, PeerSettings
from jasminewalk.ingress.entry_peers import SidecarChannel, SidecarChannels
from jasminewalk.interfaces import LogEntry
from jasminewalk.scheduling.membership import Membership

pytestmark = pytest.mark.anyio
ENTRY = EntrySettings(
    name="entry-1",
    failure_domain="a",
    listen="127.0.0.1:0",
    log=LogSettings(address="127.0.0.1:1"),
    instances_address="127.0.0.1:1",
    peers=PeerSettings(shared_key="0123456789abcdef"),
)


@pytest.fixture
async def sidecar_channels(clock):
    membership = Membership(ENTRY)
    sidecar_channels = SidecarChannels(
        settings=ENTRY,
        incarnation="i",
        clock=clock,
        membership=membership,
        handler=None,
        get_revision=lambda: 0,
    )
    for kind in ("engine", "service"):
        instance = Instance(
            name=kind, kind=kind, address="a:1", pool=kind, state="live"
        )
        membership.observe_instances(0.0, [instance])
        report = LoadReport(
            endpoint=kind,
            incarnation="i",
            sequence=1,
            kind=kind,
            pool=kind,
            failure_domain="a",
            address="a:1",
            state="live",
        )
        membership.observe_report(0.0, report)
        sidecar_channels.channels[kind] = SidecarChannel(kind, None, 0.0)
    return sidecar_channels


async def test_service_sidecars_get_no_records(sidecar_channels):
    sidecar_channels.on_records([LogEntry(1, b"x")])
    assert [
        type(message) for message in sidecar_channels.channels["engine"].outbox
    ] == [RecordFeed]
    assert not sidecar_channels.channels["service"].outbox


async def test_demand_of_each_class_reaches_its_pool(sidecar_channels):
    demands = [
        PoolDemand(
            entry="entry-1",
            pool="engine",
            period_s=1.0,
            prompt_tokens=1,
            output_tokens=1,
            requests=1,
            request_class=name,
        )
        for name in ("verdict", "helper")
    ]
    sidecar_channels.send_demand(demands)
    assert list(sidecar_channels.channels["engine"].outbox) == demands
    assert not sidecar_channels.channels["service"].outbox
