"""What a gateway asks before it tells which version began a stream."""

import pytest

from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.stream_history import StreamHistory
from jasminewalk.gateway.stream_origins import StreamOrigin
from jasminewalk.gateway.stream_versions import GatewaysAnswer
from jasminewalk.gateway.version_shares import VersionShares, compute_stream_key


class Gateways:
    """Other gateways, which know nothing."""

    async def ask(self, request_id):
        return GatewaysAnswer(asked=2, answered=1)


class Origins:
    """Origins at the store; None if it does not answer."""

    def __init__(self, origin, *, answers=True):
        self.origin, self.answers = origin, answers

    async def find(self, key):
        return self.origin, self.answers


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("origin", "answers", "expected"),
    [
        (StreamOrigin("v2", "engine-2", 1000), True, ("v2", "store", True)),
        (None, True, ("v1", "shares", True)),
        (None, False, ("v1", "shares", False)),
    ],
)
async def test_store_is_asked_though_one_version_seems_to_serve(
    origin, answers, expected
):
    shares = VersionShares()
    shares.apply(0.0, "llm", [{"v1": 3}])
    origins = Origins(origin, answers=answers)
    history = StreamHistory(Gateways(), shares, origins, Fleet(), lambda: 1.0)
    search = await history.find("llm", "attempt-1")
    assert (search.version, search.source, search.store_answered) == expected
    assert (search.asked, search.answered, search.versions) == (2, 1, ("v1",))


@pytest.mark.anyio
async def test_nothing_is_derived_without_the_store_while_versions_change():
    # Both shares give the stream to v1, but it may have begun at v2 for lack of time.
    shares, clock = VersionShares(), lambda: 1.0
    shares.apply(0.0, "llm", [{"v1": 5, "v2": 2}, {"v1": 7}])
    request_id = next(
        name
        for name in (f"attempt-{number}" for number in range(20))
        if shares.derive(1.0, "llm", compute_stream_key(name)) == "v1"
    )
    origins = Origins(None, answers=False)
    history = StreamHistory(Gateways(), shares, origins, Fleet(), clock)
    search = await history.find("llm", request_id)
    assert (search.version, search.source) == ("", "")


@pytest.mark.anyio
@pytest.mark.parametrize("answers", [True, False])
async def test_nothing_is_derived_from_shares_that_disagree(answers):
    # The store may have got the present shares just before it failed, read by nobody.
    shares, clock = VersionShares(), lambda: 1.0
    shares.apply(0.0, "llm", [{"v1": 2, "v2": 5}, {"v1": 7}])
    request_id = next(
        name
        for name in (f"attempt-{number}" for number in range(20))
        if shares.choose("llm", compute_stream_key(name)) == "v2"
    )
    origins = Origins(None, answers=answers)
    history = StreamHistory(Gateways(), shares, origins, Fleet(), clock)
    search = await history.find("llm", request_id)
    assert (search.version, search.source) == ("", "")
