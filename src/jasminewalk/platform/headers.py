"""Decode and build the headers of requests and responses."""

import math
from collections.abc import Iterable, Sequence

import attrs

__all__ = [
    "ResponseHead",
    "Header",
    "PromptPart",
    "RequestHead",
    "decode_response_head",
    "decode_request_head",
    "decode_store_era",
    "find_ambiguous_header",
    "build_engine_headers",
    "filter_relayed_headers",
]

Header = tuple[bytes, bytes]

REQUEST_ID = b"x-jasminewalk-request-id"
DEADLINE = b"x-jasminewalk-deadline-ms"
PROMPT_PREFIX = b"x-jasminewalk-prompt-prefix"
TOKEN_USAGE = b"x-jasminewalk-token-usage"
MODEL = b"x-jasminewalk-model"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
RESPONSE_SIGNATURE = b"x-jasminewalk-response-signature"
NOT_EXECUTED = b"x-jasminewalk-not-executed"
REQUEST_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
STORE_ERA = b"store-era"
EXPECT_INSTANCE = b"x-jasminewalk-expect-instance"
INSTANCE_ID = b"x-jasminewalk-instance-id"
REQUEST_PRIORITY = b"x-jasminewalk-request-priority"
STAGE = b"x-jasminewalk-stage"
KV_SOURCE = b"x-jasminewalk-kv-source"
CREDENTIAL = b"x-jasminewalk-credential"
ORGANISATION = b"x-jasminewalk-tenant"
# Only the system sets these headers; values that callers send are dropped.
SYSTEM_HEADERS = frozenset(
    (
        DEADLINE,
        EXPECT_INSTANCE,
        REQUEST_PRIORITY,
        STAGE,
        KV_SOURCE,
        CREDENTIAL,
        ORGANISATION,
        b"x-jasminewalk-kv-hold",
        b"x-jasminewalk-pin-ms",
        b"x-jasminewalk-kv-backup",
        b"x-jasminewalk-expect-version",
        b"kv-fetch",
    )
)
HOP_BY_HOP_HEADERS = frozenset(
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
# Headers of a caller that the gateway decides by; an engine that reads another value
# of a repeated one would serve another request than the gateway answers for.
SINGLE_HEADERS = frozenset(
    (
        b"host",
        REQUEST_ID,
        MODEL,
        TOKEN_USAGE,
        PROMPT_PREFIX,
        LAST_EVENT_ID,
        RESUMES,
        CREDENTIAL,
    )
)
MISDIRECTED_REQUEST = 421
UNAVAILABLE = 503
MAX_ID_BYTES = 200
MAX_ERA_DIGITS = 12
MAX_RETRY_AFTER_S = 1e9


@attrs.frozen
class PromptPart:
    """One part of a prompt.

    :param part_id: id of the part; requests with the same id have this part in common.
    :param tokens: length of the part in tokens.
    """

    part_id: str
    tokens: int


@attrs.frozen
class RequestHead:
    """Decoded headers of a request.

    :param request_id: id of the caller's attempt; empty if the caller sent none.
    :param deadline_s: seconds that the caller waits; None if it set no deadline.
    :param model: model that the request names.
    :param prompt: parts of the prompt in order, shared ones first.
    :param prompt_tokens: length of the prompt in tokens.
    :param output_tokens: maximum number of tokens to generate.
    :param last_event_id: id of the last event that the caller received; empty if none.
    :param resumes: id of the caller's attempt that brought the first event of the
        stream that it takes up; empty if it names none.
    :param credential: key of the caller's organisation; empty if it sent none.
    """

    request_id: str
    deadline_s: float | None
    model: str
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    last_event_id: str
    resumes: str = ""
    credential: str = attrs.field(default="", repr=False)


@attrs.frozen
class ResponseHead:
    """Decoded headers of a response.

    :param request_id: id of the request that the response belongs to; empty if it has
        none.
    :param signed: whether the engine signed the response.
    :param not_executed: whether the engine reports that it did not run the request.
    :param encoded: whether the body has a content encoding other than identity.
    :param closing: whether the engine closes the connection.
    :param idle_timeout_s: seconds for which the engine keeps an idle connection; None
        if the response does not say.
    :param request_limit_per_s: requests per second that the engine takes from all
        gateways together; None if the response names no limit.
    :param unreadable_limit: the limit as received, if it is not a number; else empty.
    :param leaving: whether the engine says that it is leaving.
    :param retry_after_s: seconds for which an engine that answers 503 wants no requests
        from this gateway; None if it does not say.
    :param unreadable_retry_after: that time as received, if it is not a number of
        seconds; else empty.
    :param engine_id: id of the engine that answers; empty if the response names none.
    """

    request_id: str
    signed: bool
    not_executed: bool
    encoded: bool
    closing: bool
    idle_timeout_s: float | None
    request_limit_per_s: float | None = None
    unreadable_limit: str = ""
    leaving: bool = False
    retry_after_s: float | None = None
    unreadable_retry_after: str = ""
    engine_id: str = ""


def decode_request_head(headers: Iterable[Header]) -> RequestHead:
    """Decode the headers of a caller's request.

    Malformed numbers raise no error: the deadline is then None and a count is 0.

    :param headers: pairs of a name in lower case and a value.
    """
    values = dict(headers)
    tokens, _, output = values.get(TOKEN_USAGE, b"").partition(b",")
    prompt = _parse_prompt_parts(values.get(PROMPT_PREFIX, b""))
    return RequestHead(
        request_id=_decode_text(values.get(REQUEST_ID, b"")),
        deadline_s=_parse_milliseconds(values.get(DEADLINE)),
        model=_decode_text(values.get(MODEL, b"")),
        prompt=prompt,
        prompt_tokens=_parse_count(tokens) or sum(part.tokens for part in prompt),
        output_tokens=_parse_count(output),
        last_event_id=_decode_text(values.get(LAST_EVENT_ID, b"")),
        resumes=_decode_text(values.get(RESUMES, b"")),
        credential=values.get(CREDENTIAL, b"").decode("utf-8", "replace"),
    )


def find_ambiguous_header(headers: Iterable[Header]) -> str:
    """Return the name of a header by which a request can't be told; empty if none.

    That is one that may occur once and is repeated, or an id that is too long to be
    compared with that of a response.

    :param headers: pairs of a name in lower case and a value.
    """
    seen = set()
    for name, value in headers:
        if name in SINGLE_HEADERS:
            if name in seen or (name == REQUEST_ID and len(value) >= MAX_ID_BYTES):
                return name.decode()
            seen.add(name)
    return ""


def decode_response_head(status: int, headers: Sequence[Header]) -> ResponseHead:
    """Decode the headers of an engine's response.

    :param status: status code.
    :param headers: pairs of a name in lower case and a value.
    """
    values = dict(headers)
    limit_text = _decode_text(values.get(REQUEST_LIMIT, b""))
    request_limit_per_s = _parse_rate(limit_text)
    retry_after_text = ""
    if status == UNAVAILABLE:
        retry_after_text = _decode_text(values.get(RETRY_AFTER, b""))
    retry_after_s = _parse_retry_after(retry_after_text)
    return ResponseHead(
        request_id=_decode_response_id(headers),
        signed=RESPONSE_SIGNATURE in values,
        not_executed=NOT_EXECUTED in values or status == MISDIRECTED_REQUEST,
        encoded=any(
            name == b"content-encoding" and value.lower() != b"identity"
            for name, value in headers
        ),
        closing=b"close" in values.get(b"connection", b"").lower(),
        idle_timeout_s=_parse_keep_alive(values.get(b"keep-alive", b"")),
        request_limit_per_s=request_limit_per_s,
        unreadable_limit="" if request_limit_per_s is not None else limit_text,
        leaving=values.get(LEAVING, b"").strip() == b"1",
        retry_after_s=retry_after_s,
        unreadable_retry_after="" if retry_after_s is not None else retry_after_text,
        engine_id=_decode_text(values.get(INSTANCE_ID, b"")),
    )


def decode_store_era(headers: Iterable[Header]) -> int | None:
    """Return the era that a response of the store names, or None if it names none.

    :param headers: pairs of a name in lower case and a value.
    """
    value = dict(headers).get(STORE_ERA, b"").strip()
    return int(value) if value.isdigit() and len(value) < MAX_ERA_DIGITS else None


def build_engine_headers(
    headers: Iterable[Header],
    *,
    engine_id: str,
    deadline_s: float,
    priority: int | None = None,
    prefill_only: bool = False,
    kv_source: str = "",
    last_event_id: str | None = None,
    organisation: str = "",
) -> list[Header]:
    """Build the headers of a request to an engine.

    Hop-by-hop headers of the caller are left out.

    :param headers: the caller's headers, names in lower case.
    :param engine_id: engine that the request is for; any other engine refuses it.
    :param deadline_s: seconds that the engine may take.
    :param priority: priority at the engine from 0 to 9, 0 being the most urgent; None
        leaves it to the engine's default.
    :param prefill_only: whether the engine only prefills the prompt.
    :param kv_source: engine and handle from which the KV cache of the prompt is
        fetched; empty if none.
    :param last_event_id: event after which the stream resumes; None keeps the caller's
        header.
    :param organisation: name of the organisation that the request is from; empty if
        none is known.
    """
    connection_headers = _list_connection_headers(headers)
    built = [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS
        and name not in SYSTEM_HEADERS
        and name not in connection_headers
        and not (name == LAST_EVENT_ID and last_event_id is not None)
    ]
    built.append((DEADLINE, b"%d" % max(1, int(deadline_s * 1e3))))
    built.append((EXPECT_INSTANCE, engine_id.encode()))
    if priority is not None:
        built.append((REQUEST_PRIORITY, b"%d" % priority))
    if prefill_only:
        built.append((STAGE, b"prefill"))
    if kv_source:
        built.append((KV_SOURCE, kv_source.encode()))
    if last_event_id is not None:
        built.append((LAST_EVENT_ID, last_event_id.encode()))
    if organisation:
        built.append((ORGANISATION, organisation.encode()))
    return built


def filter_relayed_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers of an engine's response that are relayed to the caller.

    :param headers: pairs of a name in lower case and a value.
    """
    connection_headers = _list_connection_headers(headers)
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in connection_headers
    ]


def _list_connection_headers(headers: Iterable[Header]) -> frozenset[bytes]:
    for name, value in headers:
        if name == b"connection":
            # The platform's own headers can't be removed by naming them here.
            tokens = (token.strip().lower() for token in value.split(b","))
            return frozenset(
                token for token in tokens if not token.startswith(b"x-jasminewalk")
            )
    return frozenset()


def _parse_prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.split(b","):
        part_id, _, tokens = item.strip().partition(b":")
        if part_id:
            parts.append(PromptPart(_decode_text(part_id), _parse_count(tokens)))
    return tuple(parts)


def _decode_text(value: bytes) -> str:
    return value[:MAX_ID_BYTES].decode("latin-1")


def _decode_response_id(headers: Iterable[Header]) -> str:
    # Different ids are joined, as such a response is proven for none of them.
    ids = dict.fromkeys(value for name, value in headers if name == REQUEST_ID)
    return _decode_text(b"\n".join(ids))


def _parse_count(value: bytes) -> int:
    value = value.strip()
    return int(value) if value.isdigit() and len(value) < 12 else 0


def _parse_rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0 <= rate < math.inf else None


def _parse_retry_after(text: str) -> float | None:
    if not text.isascii() or not text.replace(".", "", 1).isdigit():
        return None
    seconds = float(text)
    return seconds if seconds < MAX_RETRY_AFTER_S else None


def _parse_milliseconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    return milliseconds / 1e3 if 0 <= milliseconds < 1e9 else None


def _parse_keep_alive(value: bytes) -> float | None:
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
