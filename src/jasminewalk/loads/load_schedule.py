"""Generate the requests of a load plan and their due times."""

import random
from collections.abc import Iterator

import attrs
import msgspec

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.generated_load import LoadKind, LoadPhase, LoadPlan, TokenRange

__all__ = ["DueRequest", "LoadSchedule", "validate_plan"]

BYTES_PER_TOKEN = 2  # Each byte is two hexadecimal digits: four characters a token.


@attrs.frozen(kw_only=True)
class DueRequest:
    """A request with the time when it is due.

    :param due_s: due time in seconds since the start of the load.
    :param kind: name of its kind.
    :param phase: name of its phase.
    :param address: ``host:port`` of the entry.
    :param method: HTTP method.
    :param path: path, including the organisation.
    :param headers: names and values of the headers.
    :param body: body; may be empty.
    :param streamed: whether the response is a stream of tokens.
    """

    due_s: float
    kind: str
    phase: str
    address: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    streamed: bool


def validate_plan(plan: LoadPlan) -> None:
    """Check the rules of a plan that its schema cannot express.

    :param plan: the plan.
    :raises BadSettingsError: if a phase names an unknown kind or has no share above 0,
        or if a kind does not name exactly one of model and service.
    """
    known = ", ".join(plan.kinds) or "none"
    for index, phase in enumerate(plan.phases):
        for name in phase.shares:
            if name not in plan.kinds:
                raise BadSettingsError(
                    f"phases[{index}].shares: found {name!r}; allowed is one of {known}"
                )
        if not sum(phase.shares.values()):
            raise BadSettingsError(
                f"phases[{index}].shares: found no share above 0; allowed is one"
            )
    for name, kind in plan.kinds.items():
        if bool(kind.model) == bool(kind.service):
            raise BadSettingsError(
                f"kinds.{name}: found both or none of model and service; allowed is one"
            )


class LoadSchedule:
    """Generator of the requests of a plan; the same seed gives the same requests.

    :param plan: the plan.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.run_id = f"{self.rng.getrandbits(48):012x}"
        self.request_counts: dict[str, int] = dict.fromkeys(plan.kinds, 0)
        self.prefixes: dict[tuple[str, int], str] = {}

    @property
    def duration_s(self) -> float:
        """Duration of the plan in seconds."""
        return sum(phase.duration_s for phase in self.plan.phases)

    def generate_requests(self) -> Iterator[DueRequest]:
        """Yield the requests in order of their due times."""
        start_s = 0.0
        for phase in self.plan.phases:
            due_s = start_s + self.draw_interval_s(phase)
            while due_s < start_s + phase.duration_s:
                yield self.build_request(phase, due_s)
                due_s += self.draw_interval_s(phase)
            start_s += phase.duration_s

    def draw_interval_s(self, phase: LoadPhase) -> float:
        """Draw the seconds to the next request of a Poisson process.

        :param phase: the phase.
        """
        return self.rng.expovariate(phase.requests_per_s)

    def build_request(self, phase: LoadPhase, due_s: float) -> DueRequest:
        """Build the next request.

        :param phase: phase of the request.
        :param due_s: due time in seconds since the start of the load.
        """
        names = list(phase.shares)
        name = self.rng.choices(names, list(phase.shares.values()))[0]
        kind = self.plan.kinds[name]
        number = self.request_counts[name]
        self.request_counts[name] += 1
        organisation = kind.organisations[number % len(kind.organisations)]
        base_path = f"/organisations/{organisation}"
        if kind.model:
            path, body = (
                f"{base_path}/v1/chat/completions",
                self.build_chat_body(name, kind),
            )
        else:
            path = f"{base_path}/services/{kind.service}/{kind.path.lstrip('/')}"
            body = kind.body.encode()
        return DueRequest(
            due_s=due_s,
            kind=name,
            phase=phase.name,
            address=self.plan.entries[
                sum(self.request_counts.values()) % len(self.plan.entries)
            ],
            method="POST" if kind.model else kind.method,
            path=path,
            headers=self.build_headers(name, kind, number),
            body=body,
            streamed=bool(kind.model),
        )

    def build_headers(
        self, name: str, kind: LoadKind, number: int
    ) -> list[tuple[str, str]]:
        """Build the headers of a request.

        :param name: name of the kind.
        :param kind: the kind.
        :param number: number of the request within its kind.
        """
        headers = [
            ("content-type", "application/json"),
            ("deadline-ms", str(round(kind.deadline_s * 1000))),
        ]
        if kind.request_class:
            headers.append(("request-class", kind.request_class))
        if kind.keyed:
            headers.append(("idempotency-key", f"{self.run_id}-{name}-{number}"))
        return headers

    def build_chat_body(self, name: str, kind: LoadKind) -> bytes:
        """Build the body of a chat completion request.

        :param name: name of the kind.
        :param kind: the kind.
        """
        messages = []
        if kind.prefix_tokens is not None:
            text = self.get_prefix(name, kind, kind.prefix_tokens)
            messages.append({"role": "system", "content": text})
        question = kind.question_tokens or TokenRange(least=16, most=16)
        text = generate_text(self.rng, self.draw_length(self.rng, question))
        messages.append({"role": "user", "content": text})
        return msgspec.json.encode(
            {
                "model": kind.model,
                "stream": True,
                "max_tokens": kind.max_tokens,
                "messages": messages,
            }
        )

    def get_prefix(self, name: str, kind: LoadKind, limits: TokenRange) -> str:
        """Return a random one of the prompt prefixes that requests of a kind share.

        :param name: name of the kind.
        :param kind: the kind.
        :param limits: limits of its length in tokens.
        """
        number = self.rng.randrange(kind.prefixes)
        if (name, number) not in self.prefixes:
            rng = random.Random(f"{self.plan.seed}/{name}/{number}")
            self.prefixes[name, number] = generate_text(
                rng, self.draw_length(rng, limits)
            )
        return self.prefixes[name, number]

    def draw_length(self, rng: random.Random, limits: TokenRange) -> int:
        """Draw a length in tokens.

        :param rng: random source.
        :param limits: limits of the length in tokens.
        """
        return rng.randint(limits.least, max(limits.least, limits.most))


def generate_text(rng: random.Random, tokens: int) -> str:
    """Generate random hexadecimal text with four characters for each token.

    :param rng: random source.
    :param tokens: length of the text in tokens.
    """
    return rng.randbytes(tokens * BYTES_PER_TOKEN).hex()
