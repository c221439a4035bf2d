"""Final admission and order of the requests that wait for one endpoint."""

from jasminewalk.generated_codes import Code
from jasminewalk.generated_messages import CacheEvents, QueueLevel
from jasminewalk.generated_requests import EngineState
from jasminewalk.scheduling._queue_items import Expired, QueueSettings, Running, Waiting
from jasminewalk.scheduling._queue_speeds import QueueSpeeds
from jasminewalk.scheduling.prefixes import PrefixIndex
from jasminewalk.types import Refusal, RequestProfile

__all__ = ["EndpointQueue", "Expired", "QueueSettings"]

HERE = "here"


class EndpointQueue:
    """Requests of one endpoint, from their offer to their end.

    :param settings: how to admit and order.
    """

    def __init__(self, settings: QueueSettings) -> None:
        self.settings = settings
        self.waiting: dict[str, Waiting] = {}
        self.running: dict[str, Running] = {}
        self.served: dict[str, float] = {}
        self.served_floor = 0.0
        self.state: EngineState | None = None
        self.draining = False
        self.speeds = QueueSpeeds()
        self.prefixes = PrefixIndex(settings.cache_blocks, max_endpoints_per_block=1)

    # State

    @property
    def idle(self) -> bool:
        """Whether nothing waits or runs."""
        return not self.waiting and not self.running

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self.waiting)

    @property
    def queued_prefill_tokens(self) -> int:
        """Prompt tokens of the requests that wait."""
        return sum(item.tokens for item in self.waiting.values())

    def levels(self) -> list[QueueLevel]:
        """Return what waits by priority, highest first."""
        counts: dict[int, list[int]] = {}
        for item in self.waiting.values():
            counts.setdefault(item.profile.priority, []).append(item.tokens)
        return [
            QueueLevel(
                priority=priority, requests=len(tokens), prefill_tokens=sum(tokens)
            )
            for priority, tokens in sorted(counts.items(), reverse=True)
        ]

    @property
    def limit(self) -> int:
        """Most requests on the endpoint at once."""
        if self.settings.max_running:
            return self.settings.max_running
        return max(1, self.state.max_batch) if self.state else 1

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prompt tokens per second under the present mix."""
        speed = self.state.prefill_tokens_per_s if self.state else 0.0
        speed = speed or self.settings.default_prefill_tokens_per_s
        return self.speeds.prefill.rate(speed * self.settings.prefill_share)

    @property
    def decode_tokens_per_s(self) -> float:
        """Output tokens per second of one stream under the present mix."""
        speed = self.state.decode_tokens_per_s if self.state else 0.0
        speed = speed or self.settings.default_decode_tokens_per_s
        return self.speeds.decode.rate(speed * (1.0 - self.settings.prefill_share))

    @property
    def residence_s(self) -> float:
        """Seconds that a request spends on the endpoint."""
        return self.speeds.residence.rate(self.settings.default_residence_s)

    def prefilling_tokens(self, priority: float = float("-inf")) -> int:
        """Return the prompt tokens that the engine still has to prefill.

        :param priority: least priority of the requests that count.
        """
        return sum(
            item.tokens
            for item in self.running.values()
            if item.prefilling and item.profile.priority >= priority
        )

    def observe_state(self, now_s: float, state: EngineState) -> None:
        """Take the engine's report.

        :param now_s: current instant in seconds.
        :param state: the report.
        """
        del now_s
        self.state = state

    def observe_cache(self, events: CacheEvents) -> None:
        """Take changes of the engine's prefix cache.

        :param events: the changes.
        """
        self.prefixes.remove(HERE, events.removed)
        self.prefixes.add(HERE, events.added)

    def prefill_tokens(self, profile: RequestProfile) -> int:
        """Return the prompt tokens of a request that are probably not cached.

        :param profile: the request.
        """
        sampled_blocks = self.prefixes.sample_blocks(profile.prefix_hashes)
        cached = self.prefixes.estimate_cached_tokens(HERE, sampled_blocks)
        return max(1, profile.prompt_tokens - cached)

    def drain(self) -> None:
        """Refuse new requests; those that wait still run."""
        self.draining = True

    def resume(self) -> None:
        """Take new requests again."""
        self.draining = False

    # Admission

    def offer(self, now_s: float, profile: RequestProfile) -> Refusal | None:
        """Take a request, or return why not.

        :param now_s: current instant in seconds.
        :param profile: the request.
        """
        if self.draining:
            reason = "The endpoint is draining."
            return Refusal(Code.DRAINING, reason, self.settings.min_retry_after_s)
        if len(self.waiting) >= self.settings.max_queued:
            return self.overloaded("The queue is full.", self.wait_s())
        item = Waiting(
            profile,
            self.rank(now_s, profile),
            self.latest_start_s(profile),
            self.prefill_tokens(profile),
        )
        wait_s = self.wait_s(item)
        late_s = now_s + wait_s - item.latest_start_s
        if late_s > self.settings.slack_s:
            reason = f"The wait of {wait_s:.2f} s is {late_s:.2f} s too long."
            return self.overloaded(reason, late_s)
        self.waiting[profile.request_id] = item
        return None

    def overloaded(self, reason: str, after_s: float) -> Refusal:
        """Return a refusal for lack of time.

        :param reason: why, for people to read.
        :param after_s: seconds of backlog that must go first.
        """
        after_s = max(self.settings.min_retry_after_s, after_s)
        return Refusal(Code.OVERLOADED, reason, after_s)

    def service_s(self, profile: RequestProfile) -> float:
        """Return the seconds that a request takes once it is on the endpoint.

        :param profile: the request.
        """
        decode_s = max(0, profile.expected_tokens - 1) / self.decode_tokens_per_s
        return decode_s * self.settings.decode_margin

    def latest_start_s(self, profile: RequestProfile) -> float:
        """Return the instant by which a request must start to be in time.

        :param profile: the request.
        """
        return min(
            profile.deadline_s - self.service_s(profile),
            profile.first_token_deadline_s,
        )

    def wait_s(self, item: Waiting | None = None) -> float:
        """Return the seconds until a request's first token.

        :param item: the request; one behind all others if absent.
        """
        ahead = [
            other
            for other in self.waiting.values()
            if item is None or other.rank <= item.rank
        ]
        tokens = sum(other.tokens for other in ahead) + (item.tokens if item else 0)
        priority = item.profile.priority if item else float("-inf")
        tokens += self.prefilling_tokens(priority)
        slots_s = self.slot_wait_s(len(ahead))
        return max(slots_s, tokens / self.prefill_tokens_per_s)

    def slot_wait_s(self, ahead: int) -> float:
        """Return the seconds until a place on the endpoint is free.

        :param ahead: requests that go first.
        """
        excess = ahead + 1 + len(self.running) - self.limit
        if excess <= 0 or not self.running:
            return 0.0
        return excess * self.residence_s / self.limit

    def rank(self, now_s: float, profile: RequestProfile) -> tuple[float, float, float]:
        """Return the place of a request: priority, then share and deadline.

        :param now_s: current instant in seconds.
        :param profile: the request.
        """
        due_s = self.latest_start_s(profile)
        if due_s == float("inf"):
            due_s = now_s
        if self.settings.fairness:
            due_s += self.share_delay_s(profile.organisation)
        return (-float(profile.priority), due_s, now_s)

    def share_delay_s(self, organisation: str) -> float:
        """Return by how much an organisation that got more goes later.

        :param organisation: organisation name.
        """
        ahead_s = self.served.get(organisation, self.served_floor) - self.served_floor
        return min(self.settings.share_window_s, max(0.0, ahead_s))

    # Start and end

    def start(self, now_s: float) -> list[RequestProfile]:
        """Return the requests to hand to the endpoint now, and count them there.

        :param now_s: current instant in seconds.
        """
        started: list[RequestProfile] = []
        if not self.waiting:
            return started
        for item in sorted(self.waiting.values(), key=lambda item: item.rank):
            if len(self.running) >= self.limit:
                break
            if self.prefilling_tokens(item.profile.priority) > self.ahead_tokens:
                break
            del self.waiting[item.profile.request_id]
            self.begin(now_s, item)
            started.append(item.profile)
        return started

    @property
    def ahead_tokens(self) -> float:
        """Prompt tokens that the engine may hold before it gets more."""
        return self.settings.ahead_s * self.prefill_tokens_per_s

    def begin(self, now_s: float, item: Waiting) -> None:
        """Count a request as handed to the endpoint.

        :param now_s: current instant in seconds.
        :param item: the request.
        """
        profile = item.profile
        alone = not any(other.prefilling for other in self.running.values())
        self.speeds.prefill_began(now_s, alone=alone)
        self.running[profile.request_id] = Running(profile, now_s, item.tokens)
        self.prefixes.add(HERE, profile.prefix_hashes)
        prefill_s = item.tokens / self.prefill_tokens_per_s
        work_s = (prefill_s + self.service_s(profile) / self.limit) / profile.weight
        organisation = profile.organisation
        old_s = max(self.served_floor, self.served.get(organisation, 0.0))
        self.served[organisation] = old_s + work_s
        active = {item.profile.organisation for item in self.waiting.values()}
        active.add(organisation)
        lowest_s = min(self.served.get(name, self.served_floor) for name in active)
        self.served_floor = max(self.served_floor, lowest_s)
        if len(self.served) > 4 * self.settings.max_queued:
            self.served = {
                name: served_s
                for name, served_s in self.served.items()
                if served_s > self.served_floor
            }

    def first_token(self, now_s: float, request_id: str) -> None:
        """Take note that the endpoint has done a request's prefill.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        """
        item = self.running.get(request_id)
        if item is None or not item.prefilling:
            return
        item.first_token_s = now_s
        self.speeds.prefill_ended(now_s, item.tokens)

    def finished(
        self, now_s: float, request_id: str, output_tokens: int | None = None
    ) -> None:
        """Take note that a request has left the endpoint.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        :param output_tokens: length of the answer; the expected one if absent.
        """
        item = self.running.pop(request_id, None)
        if item is None or item.first_token_s is None:
            return
        tokens = output_tokens or item.profile.expected_tokens
        self.speeds.ended(
            now_s, tokens, now_s - item.first_token_s, now_s - item.started_s
        )

    def cancel(self, request_id: str) -> None:
        """Forget a request wherever it is.

        :param request_id: identifier of the request.
        """
        self.waiting.pop(request_id, None)
        self.running.pop(request_id, None)

    def expired(self, now_s: float) -> list[Expired]:
        """Give up the waiting requests that can no longer be in time.

        :param now_s: current instant in seconds.
        """
        given_up: list[Expired] = []
        for item in list(self.waiting.values()):
            late_s = now_s - item.latest_start_s
            if late_s <= self.settings.slack_s:
                continue
            del self.waiting[item.profile.request_id]
            after_s = self.wait_s()
            reason = "The wait has used up the time that the answer needs."
            given_up.append(Expired(item.profile, self.overloaded(reason, after_s)))
        return given_up
