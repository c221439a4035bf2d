"""Headers of requests and answers, decoded and built."""

from collections.abc import Iterable

import attrs

__all__ = [
    "ResponseHead",
    "Header",
    "PromptPart",
    "RequestHead",
    "decode_response_head",
    "decode_request_head",
    "build_engine_headers",
    "filter_relayed_headers",
]

Header = tuple[bytes, bytes]

REQUEST_ID = b"x-jasminewalk-request-id"
DEADLINE = b"x-jasminewalk-deadline-ms"
PROMPT = b"x-jasminewalk-prompt-prefix"
TOKENS = b"x-jasminewalk-token-usage"
MODEL = b"x-jasminewalk-model"
LAST_EVENT = b"last-event-id"
SIGNATURE = b"x-jasminewalk-response-signature"
NOT_EXECUTED = b"x-jasminewalk-not-executed"
EXPECT_INSTANCE = b"x-jasminewalk-expect-instance"
PRIORITY = b"x-jasminewalk-request-priority"
STAGE = b"x-jasminewalk-stage"
KV_SOURCE = b"x-jasminewalk-kv-source"
# Headers that are the system's to set; what a caller sent in them is dropped.
SYSTEM_HEADERS = frozenset(
    (
        DEADLINE,
        EXPECT_INSTANCE,
        PRIORITY,
        STAGE,
        KV_SOURCE,
        b"x-jasminewalk-kv-hold",
        b"x-jasminewalk-pin-ms",
        b"x-jasminewalk-kv-backup",
        b"x-jasminewalk-expect-version",
        b"kv-fetch",
    )
)
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
MISDIRECTED = 421
MAX_ID_BYTES = 200


@attrs.frozen
class PromptPart:
    """One part of a prompt, in the order of the prompt.

    :param part_id: identity of the part; requests with the same id share it.
    :param tokens: its length in tokens.
    """

    part_id: str
    tokens: int


@attrs.frozen
class RequestHead:
    """What the system reads of a request's headers.

    :param request_id: id of the caller's attempt; empty if it sent none.
    :param deadline_s: seconds the caller will wait, if it said so.
    :param model: model that the request names.
    :param prompt: parts of the prompt, shared ones first.
    :param prompt_tokens: length of the prompt in tokens.
    :param output_tokens: most tokens to be generated.
    :param last_event_id: id of the last event that the caller has; empty if none.
    """

    request_id: str
    deadline_s: float | None
    model: str
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    last_event_id: str


@attrs.frozen
class ResponseHead:
    """What the system reads of an answer's headers.

    :param request_id: request that the answer belongs to; empty if it names none.
    :param signed: whether the engine signed it.
    :param not_executed: whether the engine states that it did not run the request.
    :param encoded: whether the body has a content encoding.
    :param closing: whether the engine closes the connection.
    :param idle_timeout_s: seconds the engine keeps an idle connection, if it said so.
    """

    request_id: str
    signed: bool
    not_executed: bool
    encoded: bool
    closing: bool
    idle_timeout_s: float | None


def decode_request_head(headers: Iterable[Header]) -> RequestHead:
    """Decode the headers of a caller's request.

    :param headers: names in lower case and values.
    """
    found = dict(headers)
    tokens, _, output = found.get(TOKENS, b"").partition(b",")
    prompt = _prompt(found.get(PROMPT, b""))
    return RequestHead(
        request_id=_text(found.get(REQUEST_ID, b"")),
        deadline_s=_milliseconds(found.get(DEADLINE)),
        model=_text(found.get(MODEL, b"")),
        prompt=prompt,
        prompt_tokens=_count(tokens) or sum(part.tokens for part in prompt),
        output_tokens=_count(output),
        last_event_id=_text(found.get(LAST_EVENT, b"")),
    )


def decode_response_head(status: int, headers: Iterable[Header]) -> ResponseHead:
    """Decode the headers of an engine's answer.

    :param status: status code.
    :param headers: names in lower case and values.
    """
    found = dict(headers)
    return ResponseHead(
        request_id=_text(found.get(REQUEST_ID, b"")),
        signed=SIGNATURE in found,
        not_executed=NOT_EXECUTED in found or status == MISDIRECTED,
        encoded=found.get(b"content-encoding", b"identity").lower() != b"identity",
        closing=b"close" in found.get(b"connection", b"").lower(),
        idle_timeout_s=_keep_alive(found.get(b"keep-alive", b"")),
    )


def build_engine_headers(
    headers: Iterable[Header],
    *,
    engine_id: str,
    deadline_s: float,
    priority: int | None = None,
    prefill_only: bool = False,
    kv_source: str = "",
    last_event_id: str | None = None,
) -> list[Header]:
    """Build the headers of a request to an engine.

    :param headers: the caller's headers, names in lower case.
    :param engine_id: engine that is meant; any other refuses the request.
    :param deadline_s: seconds the engine may take.
    :param priority: urgency at the engine from 0 to 9, 0 first; its default if None.
    :param prefill_only: whether the engine only reads the prompt.
    :param kv_source: engine and handle to fetch the read prompt from.
    :param last_event_id: event after which the stream goes on, if not the caller's.
    """
    named = _named_by_connection(headers)
    built = [
        (name, value)
        for name, value in headers
        if name not in CONNECTION_HEADERS
        and name not in SYSTEM_HEADERS
        and name not in named
        and not (name == LAST_EVENT and last_event_id is not None)
    ]
    built.append((DEADLINE, b"%d" % max(1, int(deadline_s * 1e3))))
    built.append((EXPECT_INSTANCE, engine_id.encode()))
    if priority is not None:
        built.append((PRIORITY, b"%d" % priority))
    if prefill_only:
        built.append((STAGE, b"prefill"))
    if kv_source:
        built.append((KV_SOURCE, kv_source.encode()))
    if last_event_id is not None:
        built.append((LAST_EVENT, last_event_id.encode()))
    return built


def filter_relayed_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers of an engine's answer that go on to the caller.

    :param headers: names in lower case and values.
    """
    named = _named_by_connection(headers)
    return [
        (name, value)
        for name, value in headers
        if name not in CONNECTION_HEADERS and name not in named
    ]


def _named_by_connection(headers: Iterable[Header]) -> frozenset[bytes]:
    for name, value in headers:
        if name == b"connection":
            tokens = (token.strip().lower() for token in value.split(b","))
            return frozenset(
                token for token in tokens if not token.startswith(b"x-jasminewalk")
            )
    return frozenset()


def _prompt(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.split(b","):
        part_id, _, tokens = item.strip().partition(b":")
        if part_id:
            parts.append(PromptPart(_text(part_id), _count(tokens)))
    return tuple(parts)


def _text(value: bytes) -> str:
    return value[:MAX_ID_BYTES].decode("latin-1")


def _count(value: bytes) -> int:
    value = value.strip()
    return int(value) if value.isdigit() and len(value) < 12 else 0


def _milliseconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    return milliseconds / 1e3 if 0 <= milliseconds < 1e9 else None


def _keep_alive(value: bytes) -> float | None:
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
