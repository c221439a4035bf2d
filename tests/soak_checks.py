"""Checks of the gateway soak: of answers to callers, and of the back ends' records."""

from pathlib import Path

import attrs

from jasminewalk.gateway.holder_lease import FENCING_NUMBERS_PER_ERA

__all__ = [
    "Answer",
    "ViolationError",
    "check_answer",
    "check_handles",
    "check_keys",
    "check_orders",
    "check_releases",
    "check_runs",
    "check_stream",
    "parse_answer",
    "read_memory_bytes",
]

LEASE_S = 1.0
REQUEST_ID = b"x-jasminewalk-request-id"
KV_SOURCE = b"x-jasminewalk-kv-source"
RELEASE_PATH = "/-/kv-handle/"
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
ENGINE_ERROR = b"engine failed "


class ViolationError(Exception):
    """A guarantee of the gateway was violated."""


@attrs.frozen
class Answer:
    """Answer that a caller received; status 0 is none.

    :param request_id: id of the caller's request.
    :param status: status code.
    :param headers: values by name in lower case.
    :param body: body without its chunk sizes.
    :param complete: whether the body arrived completely.
    """

    request_id: str
    status: int = 0
    headers: dict = attrs.field(factory=dict)
    body: bytes = b""
    complete: bool = False


def parse_answer(request_id, data):
    """Parse what a caller read from its connection.

    :raises ViolationError: if there are more bytes than one answer has.
    """
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return Answer(request_id)
    status_line, *lines = head.split(b"\r\n")
    fields = (line.partition(b": ")[::2] for line in lines)
    headers = {name.lower(): value for name, value in fields}
    if headers.get(b"transfer-encoding") == b"chunked":
        body, complete = decode_chunks(request_id, rest)
    else:
        size = int(headers.get(b"content-length", 0))
        if len(rest) > size:
            raise ViolationError(f"{request_id} got {rest[size:][:60]!r} after a body")
        body, complete = rest, len(rest) == size
    return Answer(request_id, int(status_line.split()[1]), headers, body, complete)


def decode_chunks(request_id, data):
    parts = []
    while data:
        size_text, separator, data = data.partition(b"\r\n")
        size = int(size_text, 16)
        if not size:
            if data != b"\r\n":
                raise ViolationError(f"{request_id} got {data[:60]!r} after a stream")
            return b"".join(parts), True
        parts.append(data[:size])
        if not separator or len(data) < size + 2:
            break
        data = data[size + 2 :]
    return b"".join(parts), False


def check_answer(answer, body):
    """Check that an answer is its caller's own.

    :param answer: the answer.
    :param body: body of a success.
    :raises ViolationError: if it belongs to another request.
    """
    own_id = answer.request_id.encode()
    named_id = answer.headers.get(REQUEST_ID, own_id)
    is_foreign_error = answer.body.startswith(ENGINE_ERROR) and (
        answer.body != ENGINE_ERROR + own_id
    )
    is_foreign_success = (
        answer.status == 200 and answer.complete and (answer.body != body)
    )
    if named_id != own_id or is_foreign_error or is_foreign_success:
        raise ViolationError(
            f"{answer.request_id} was answered {answer.status} for {named_id!r} "
            f"with {answer.body[:60]!r}"
        )


def check_stream(answer, event_count):
    """Check that a stream is its caller's own, in order and complete if it ended.

    :param answer: the answer.
    :param event_count: number of events of a complete stream.
    :raises ViolationError: if it is not.
    """
    if answer.status != 200:
        check_answer(answer, b"")
        return
    lines = answer.body.split(b"\n")
    event_ids = [int(line[4:]) for line in lines if line.startswith(b"id: ")]
    names = {line[7:] for line in lines if line.startswith(b"event: ")}
    named_id = answer.headers.get(REQUEST_ID, answer.request_id.encode())
    if (names | {named_id}) != {answer.request_id.encode()}:
        raise ViolationError(f"{answer.request_id} got events for {names}, {named_id}")
    if event_ids != list(range(1, len(event_ids) + 1)):
        raise ViolationError(f"{answer.request_id} received events {event_ids}")
    if answer.complete and len(event_ids) != event_count:
        raise ViolationError(
            f"stream of {answer.request_id} ended without an error after {event_ids}"
        )


def check_runs(engines, not_executed):
    """Check that nothing unsafe ran twice, and that nothing refused ran.

    :param engines: the engines.
    :param not_executed: ids of requests whose answer says that they were not executed.
    :raises ViolationError: if a request did.
    """
    runs = {}
    for engine in engines:
        for request_id, target, prefill in engine.executed_requests:
            if not prefill:
                runs.setdefault((request_id, target), []).append(engine.engine_id)
    for (request_id, target), names in runs.items():
        if len(names) > 1 and target.startswith((b"/book/", b"/help/")):
            raise ViolationError(f"{request_id} ran at {names}")
        if request_id in not_executed:
            raise ViolationError(
                f"{request_id} was reported as not executed but ran at {names}"
            )


def list_used_handles(engines):
    """Return the source, request and engine of each continuation from a handle."""
    return [
        (headers[KV_SOURCE].decode(), headers[REQUEST_ID], engine.engine_id)
        for engine in engines
        for _, headers in engine.requests
        if KV_SOURCE in headers
    ]


def check_handles(engines):
    """Check that streams go on from a handle of their own request, and once from each.

    :param engines: the engines.
    :raises ViolationError: if one doesn't.
    """
    owners = {
        f"{engine.address}/{handle}": request_id
        for engine in engines
        for handle, request_id in engine.handles.items()
    }
    used = {}
    for source, request_id, engine_id in list_used_handles(engines):
        if owners.get(source) != request_id:
            raise ViolationError(
                f"{request_id!r} went on from {source} of {owners.get(source)!r}"
            )
        if source in used:
            raise ViolationError(f"{source} was used at {used[source]} and {engine_id}")
        used[source] = engine_id


def check_releases(engines, completed):
    """Check that handles are released once, and none that a stream went on from.

    :param engines: the engines.
    :param completed: ids of requests whose stream was received completely.
    :raises ViolationError: if another one is released.
    """
    used = {
        source: request_id.decode()
        for source, request_id, _ in list_used_handles(engines)
    }
    for engine in engines:
        handles = [path.removeprefix(RELEASE_PATH) for path in engine.released_paths]
        for handle in handles:
            source = f"{engine.address}/{handle}"
            if handle not in engine.handles or handles.count(handle) > 1:
                raise ViolationError(
                    f"{source} was released {handles.count(handle)} times, "
                    f"made for {engine.handles.get(handle)!r}"
                )
            owner = engine.handles[handle].decode()
            if used.get(source) in completed and is_last_use(engines, owner, source):
                raise ViolationError(f"{source} of {owner} was used and released")


def is_last_use(engines, owner, source):
    """Return whether a request was sent to an engine once only, from this source."""
    sources = [
        headers.get(KV_SOURCE, b"").decode()
        for engine in engines
        for request, headers in engine.requests
        if headers[REQUEST_ID].decode() == owner
        and b"x-jasminewalk-stage" not in headers
    ]
    return sources == [source]


def check_orders(engines, store):
    """Check that stage orders come from the holder of the lease, one at a time.

    :param engines: the engines.
    :param store: the store, which knows the holders of each era's generations.
    :raises ViolationError: if an order comes from another gateway.
    """
    for engine in engines:
        for order in engine.orders:
            holders = store.holders.get(
                divmod(order["fence"], FENCING_NUMBERS_PER_ERA), set()
            )
            names = {holder.partition("/")[0] for holder in holders}
            if order["holder"] not in names:
                raise ViolationError(
                    f"{order['holder']} ordered {engine.engine_id} with fencing number "
                    f"{order['fence']}, held by {names}"
                )
        for before, after in zip(engine.orders, engine.orders[1:], strict=False):
            check_order_pair(engine, before, after)


def check_order_pair(engine, before, after):
    if after["fence"] < before["fence"]:
        raise ViolationError(f"fencing numbers decreased at {engine.engine_id}")
    if after["holder"] != before["holder"]:
        if after["fence"] == before["fence"]:
            raise ViolationError(
                f"two holders used one fencing number: {engine.engine_id}"
            )
        if after["at"] - before["at"] < LEASE_S * 0.7:
            raise ViolationError(
                f"orders of two holders were too close: {engine.engine_id}"
            )


def check_keys(engines, keys, used_keys):
    """Check that engines ran requests for the organisations of their keys alone.

    :param engines: the engines, with the requests that they got.
    :param keys: keys of the organisations.
    :param used_keys: key of each request, and whether it may run, by its id.
    :raises ViolationError: if not.
    """
    for engine in engines:
        for _, headers in engine.requests:
            request_id = headers[b"x-jasminewalk-request-id"].decode()
            key, may_run = used_keys[request_id]
            named = headers.get(b"x-jasminewalk-tenant", b"").decode()
            if not may_run:
                raise ViolationError(f"{request_id} ran with {key}")
            if b"x-jasminewalk-credential" in headers:
                raise ViolationError(f"{engine.engine_id} got the key of {request_id}")
            if named != keys.organisations[key]:
                raise ViolationError(f"{request_id} with {key} ran for {named!r}")


def read_memory_bytes(process_id):
    """Return the peak of a process's resident memory, 0 if it has ended."""
    try:
        text = Path(f"/proc/{process_id}/status").read_text(encoding="ascii")
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    return 0
