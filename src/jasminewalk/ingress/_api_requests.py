"""Validates callers' HTTP requests against the configuration and builds jobs."""

from typing import TypeVar

import attrs

from jasminewalk.clock import Clock
from jasminewalk.exceptions import BadRequestError, JasminewalkError
from jasminewalk.generated_codes import Code
from jasminewalk.generated_configuration import (
    Organisation,
    RequestClass,
    ServiceRule,
)
from jasminewalk.ingress._api_openai import OpenAiRequest
from jasminewalk.ingress.jobs import CallJob, GenerationJob
from jasminewalk.operators.configuration import ConfigurationView
from jasminewalk.scheduling.tokens import Tokenizer
from jasminewalk.transport._http import Scope
from jasminewalk.transport.memory_limit import Holding
from jasminewalk.types import RequestProfile

__all__ = ["CallerRequest", "JobBuilder", "is_repeatable"]

MAX_DEADLINE_MS = 86_400_000
MAX_KEY_BYTES = 255
MAX_DEADLINE_DIGITS = 9
ENTRY_HEADERS = frozenset({b"deadline-ms", b"request-class", b"idempotency-key"})
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

Item = TypeVar("Item")


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A request of a caller that has not been validated.

    :param request_id: identifier of the request.
    :param arrived_s: time of arrival on the monotonic clock, in seconds.
    :param method: HTTP method.
    :param headers: pairs of name and value; names are in lower case.
    :param organisation: organisation name from the path.
    """

    request_id: str
    arrived_s: float
    method: str
    headers: list[tuple[bytes, bytes]]
    organisation: str

    @classmethod
    def from_scope(
        cls, scope: Scope, *, request_id: str, arrived_s: float, organisation: str
    ) -> "CallerRequest":
        """Create the request from an ASGI scope.

        :param scope: ASGI scope.
        :param request_id: identifier of the request.
        :param arrived_s: time of arrival on the monotonic clock, in seconds.
        :param organisation: organisation name from the path.
        """
        return cls(
            request_id=request_id,
            arrived_s=arrived_s,
            method=scope["method"],
            headers=list(scope["headers"]),
            organisation=organisation,
        )

    def get_header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string if it is absent.

        :param name: name in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1").strip()
        return ""


def get_item(items: dict[str, Item], name: str, code: Code, item_kind: str) -> Item:
    """Return the item with a name.

    :param items: items by name.
    :param name: name to look up.
    :param code: result code of the error.
    :param item_kind: kind of item, for the error message.
    :raises BadRequestError: if no item has the name.
    """
    item = items.get(name)
    if item is None:
        raise BadRequestError(
            f"The organisation has no {item_kind} {name[:100]!r}.", code=code
        )
    return item


def parse_deadline_s(request: CallerRequest, default_s: float) -> float:
    """Return the deadline for the complete response as monotonic time in seconds.

    :param request: the request.
    :param default_s: seconds until the deadline if the request does not set it.
    :raises BadRequestError: if the header is not a number in the allowed range.
    """
    value = request.get_header(b"deadline-ms")
    if not value:
        return request.arrived_s + default_s
    is_decimal = value.isascii() and value.isdigit()
    if not is_decimal or len(value) > MAX_DEADLINE_DIGITS:
        raise BadRequestError(
            f"Deadline-Ms is {value[:40]!r}; it must be a whole number of "
            "milliseconds.",
            code=Code.BAD_HEADER,
        )
    milliseconds = int(value)
    if not 0 < milliseconds <= MAX_DEADLINE_MS:
        raise BadRequestError(
            f"Deadline-Ms is {milliseconds}; it must be from 1 to {MAX_DEADLINE_MS}.",
            code=Code.BAD_HEADER,
        )
    return request.arrived_s + milliseconds / 1000


def is_repeatable(rule: ServiceRule, method: str, path: str) -> bool:
    """Return whether a call of a service may run more than once.

    The rule lists such calls as a method and the beginning of a path.

    >>> rule = ServiceRule(pool="p", request_class="c", repeatable=["GET /times"])
    >>> is_repeatable(rule, "GET", "/times/monday")
    True
    >>> is_repeatable(rule, "GET", "/timesheets")
    False

    :param rule: rule of the service.
    :param method: HTTP method.
    :param path: path below the service, without query.
    """
    for pattern in rule.repeatable:
        allowed_method, _, prefix = pattern.partition(" ")
        if method != allowed_method:
            continue
        if path == prefix or path.startswith(prefix.rstrip("/") + "/"):
            return True
    return False


def check_service_path(path: str) -> None:
    """Refuse paths that a service may resolve to another path.

    :param path: raw path below the service, without query.
    :raises BadRequestError: if the path has empty or dot segments, escaped or not.
    """
    normalized = (
        path.lower().replace("%2e", ".").replace("%2f", "/").replace("%5c", "/")
    )
    segments = normalized.replace("\\", "/").split("/")
    if "." in segments or ".." in segments or "//" in normalized:
        raise BadRequestError(
            "The path must not have empty or dot segments.", code=Code.UNKNOWN_PATH
        )


class JobBuilder:
    """Validates requests against the configuration in force and builds jobs.

    :param configuration: the configuration in force.
    :param tokenizer: counts tokens and hashes prefixes.
    :param clock: source of time.
    """

    def __init__(
        self, *, configuration: ConfigurationView, tokenizer: Tokenizer, clock: Clock
    ) -> None:
        self.configuration = configuration
        self.tokenizer = tokenizer
        self.clock = clock

    def get_organisation(self, request: CallerRequest) -> Organisation:
        """Return the organisation of a request.

        :param request: the request.
        :raises BadRequestError: if the organisation is not configured.
        """
        organisation = self.configuration.get_organisation(request.organisation)
        if organisation is None:
            raise BadRequestError(
                f"There is no organisation {request.organisation[:100]!r}.",
                code=Code.UNKNOWN_ORGANISATION,
            )
        return organisation

    def get_request_class(
        self, organisation: Organisation, request: CallerRequest, default: str
    ) -> tuple[str, RequestClass]:
        """Return the name and the rule of a request's class.

        :param organisation: organisation of the request.
        :param request: the request; its header may name a class.
        :param default: class of requests that do not name one.
        :raises BadRequestError: if the organisation has no such class.
        """
        name = request.get_header(b"request-class") or default
        class_rule = get_item(organisation.classes, name, Code.BAD_HEADER, "class")
        return name, class_rule

    def list_withdrawn(self, pool: str) -> list[str]:
        """Return the endpoints of a pool that the configuration excludes.

        :param pool: pool name.
        """
        pool_rule = self.configuration.pools.get(pool)
        return pool_rule.withdrawn if pool_rule else []

    def build_generation(
        self, request: CallerRequest, body: OpenAiRequest
    ) -> GenerationJob:
        """Build the job for a generation.

        :param request: the request.
        :param body: decoded body of the request.
        :raises JasminewalkError: if the configuration does not allow the request.
        """
        organisation = self.get_organisation(request)
        rule = get_item(organisation.models, body.model, Code.UNKNOWN_MODEL, "model")
        class_name, class_rule = self.get_request_class(
            organisation, request, rule.request_class
        )
        prompt = body.prompt_text
        max_tokens = body.output_limit or class_rule.max_tokens
        profile = RequestProfile(
            request_id=request.request_id,
            organisation=organisation.name,
            request_class=class_name,
            pool=rule.pool,
            model=body.model,
            prompt_tokens=self.tokenizer.count_tokens(prompt),
            expected_tokens=min(max_tokens, class_rule.expected_tokens),
            max_tokens=max_tokens,
            prefix_hashes=self.tokenizer.hash_prefixes(prompt),
            arrived_s=request.arrived_s,
            deadline_s=parse_deadline_s(request, class_rule.deadline_s),
            first_token_deadline_s=request.arrived_s + class_rule.first_token_s,
            priority=class_rule.priority,
            weight=organisation.weight,
        )
        return GenerationJob(
            profile=profile,
            failure_domains=organisation.failure_domains,
            withdrawn=self.list_withdrawn(rule.pool),
            prompt=prompt,
            adapter=rule.adapter,
        )

    def build_call(
        self,
        request: CallerRequest,
        service: str,
        path: str,
        query: str,
        body: bytes,
        holding: Holding,
    ) -> CallJob:
        """Build the job for a call of a service.

        :param request: the request.
        :param service: service name.
        :param path: raw path below the service.
        :param query: raw query string.
        :param body: request body.
        :param holding: memory that the call and its reply take.
        :raises JasminewalkError: if the configuration does not allow the call.
        """
        organisation = self.get_organisation(request)
        rule = get_item(organisation.services, service, Code.UNKNOWN_SERVICE, "service")
        class_name, class_rule = self.get_request_class(
            organisation, request, rule.request_class
        )
        check_service_path(path)
        repeatable = is_repeatable(rule, request.method, path)
        profile = RequestProfile(
            request_id=request.request_id,
            organisation=organisation.name,
            request_class=class_name,
            pool=rule.pool,
            arrived_s=request.arrived_s,
            deadline_s=parse_deadline_s(request, class_rule.deadline_s),
            priority=class_rule.priority,
            weight=organisation.weight,
            repeatable=repeatable,
        )
        return CallJob(
            profile=profile,
            failure_domains=organisation.failure_domains,
            withdrawn=self.list_withdrawn(rule.pool),
            service=service,
            method=request.method,
            path=f"{path}?{query}" if query else path,
            headers=select_forwarded_headers(request.headers),
            body=body,
            key="" if repeatable else get_idempotency_key(request),
            holding=holding,
        )


def get_idempotency_key(request: CallerRequest) -> str:
    """Return the idempotency key of a call that must not run twice.

    :param request: the request; its identifier is the key if it has no header.
    :raises BadRequestError: if the key is too long or has other characters than
        printable ASCII.
    """
    key = request.get_header(b"idempotency-key") or request.request_id
    if len(key) > MAX_KEY_BYTES or not key.isprintable() or not key.isascii():
        raise BadRequestError(
            f"Idempotency-Key has {len(key)} characters; up to {MAX_KEY_BYTES} "
            "printable ASCII characters are allowed.",
            code=Code.BAD_HEADER,
        )
    return key


def select_forwarded_headers(headers: list[tuple[bytes, bytes]]) -> list[list[str]]:
    """Return the headers to forward to a service.

    Headers that concern only the connection or the entry are left out.

    :param headers: headers of the caller's request.
    """
    dropped = HOP_BY_HOP_HEADERS | ENTRY_HEADERS
    return [
        [name.decode("latin-1"), value.decode("latin-1")]
        for name, value in headers
        if name not in dropped
    ]


def check_ready(is_ready: bool) -> None:
    """Refuse requests until the configuration has been read.

    :param is_ready: whether the configuration has been read.
    :raises JasminewalkError: if it has not.
    """
    if not is_ready:
        raise JasminewalkError(code=Code.NOT_READY, retry_after_s=1.0)
