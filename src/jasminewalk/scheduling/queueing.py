"""Admission and order of the requests that wait for one endpoint."""

from jasminewalk.generated_codes import Code
from jasminewalk.generated_messages import CacheEvents, QueueLevel
from jasminewalk.generated_requests import EngineState
from jasminewalk.scheduling._queue_items import (
    ExpiredRequest,
    QueueSettings,
    RunningRequest,
    WaitingRequest,
)
from jasminewalk.scheduling._queue_speeds import QueueSpeeds
from jasminewalk.scheduling.prefixes import PrefixIndex
from jasminewalk.types import Refusal, RequestProfile

__all__ = ["EndpointQueue", "ExpiredRequest", "QueueSettings"]

LOCAL_ENDPOINT = "here"


class EndpointQueue:
    """Queue of one endpoint, which also tracks the requests running on it.

    :param settings: queue settings.
    """

    def __init__(self, settings: QueueSettings) -> None:
        self.settings = settings
        self.waiting: dict[str, WaitingRequest] = {}
        self.running: dict[str, RunningRequest] = {}
        self.served_work_s: dict[str, float] = {}
        self.served_floor_s = 0.0
        self.state: EngineState | None = None
        self.draining = False
        self.speeds = QueueSpeeds()
        self.prefixes = PrefixIndex(settings.cache_blocks, max_endpoints_per_block=1)

    # State

    @property
    def is_idle(self) -> bool:
        """Whether no request is waiting or running."""
        return not self.waiting and not self.running

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self.waiting)

    @property
    def queued_prefill_tokens(self) -> int:
        """Prompt tokens of the waiting requests that need prefill."""
        return sum(item.prefill_tokens for item in self.waiting.values())

    def count_by_priority(self) -> list[QueueLevel]:
        """Return the waiting requests and tokens by priority, highest first."""
        counts: dict[int, list[int]] = {}
        for item in self.waiting.values():
            counts.setdefault(item.profile.priority, []).append(item.prefill_tokens)
        return [
            QueueLevel(
                priority=priority, requests=len(tokens), prefill_tokens=sum(tokens)
            )
            for priority, tokens in sorted(counts.items(), reverse=True)
        ]

    @property
    def running_limit(self) -> int:
        """Maximum number of requests on the endpoint at the same time."""
        if self.settings.max_running:
            return self.settings.max_running
        return max(1, self.state.max_batch) if self.state else 1

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prompt tokens per second under the current mix of requests."""
        speed = self.state.prefill_tokens_per_s if self.state else 0.0
        speed = speed or self.settings.default_prefill_tokens_per_s
        return self.speeds.prefill.estimate(speed * self.settings.prefill_share)

    @property
    def decode_tokens_per_s(self) -> float:
        """Output tokens per second of one stream under the current mix."""
        speed = self.state.decode_tokens_per_s if self.state else 0.0
        speed = speed or self.settings.default_decode_tokens_per_s
        return self.speeds.decode.estimate(speed * (1.0 - self.settings.prefill_share))

    @property
    def residence_s(self) -> float:
        """Seconds that a request spends on the endpoint."""
        return self.speeds.residence.estimate(self.settings.default_residence_s)

    def count_prefilling_tokens(self, priority: float = float("-inf")) -> int:
        """Return the prompt tokens that the engine still has to prefill.

        :param priority: lowest priority of the requests to count.
        """
        return sum(
            item.prefill_tokens
            for item in self.running.values()
            if item.is_prefilling and item.profile.priority >= priority
        )

    def observe_state(self, now_s: float, state: EngineState) -> None:
        """Apply a state report of the engine.

        :param now_s: current time in seconds.
        :param state: the report.
        """
        del now_s
        self.state = state

    def observe_cache(self, events: CacheEvents) -> None:
        """Apply changes of the engine's prefix cache.

        :param events: the changes.
        """
        self.prefixes.remove(LOCAL_ENDPOINT, events.removed)
        self.prefixes.add(LOCAL_ENDPOINT, events.added)

    def estimate_prefill_tokens(self, profile: RequestProfile) -> int:
        """Estimate how many prompt tokens of a request are not cached.

        :param profile: the request.
        """
        sampled_blocks = self.prefixes.sample_blocks(profile.prefix_hashes)
        cached = self.prefixes.estimate_cached_tokens(LOCAL_ENDPOINT, sampled_blocks)
        return max(1, profile.prompt_tokens - cached)

    def drain(self) -> None:
        """Refuse new requests; waiting requests still run."""
        self.draining = True

    def resume(self) -> None:
        """Accept new requests again."""
        self.draining = False

    # Admission

    def offer(self, now_s: float, profile: RequestProfile) -> Refusal | None:
        """Add a request to the queue, or return a refusal.

        :param now_s: current time in seconds.
        :param profile: the request.
        """
        if self.draining:
            reason = "The endpoint is draining."
            return Refusal(Code.DRAINING, reason, self.settings.min_retry_after_s)
        if len(self.waiting) >= self.settings.max_queued:
            return self.build_overload_refusal(
                "The queue is full.", self.estimate_wait_s()
            )
        item = WaitingRequest(
            profile,
            self.compute_rank(now_s, profile),
            self.compute_latest_first_token_s(profile),
            self.estimate_prefill_tokens(profile),
        )
        wait_s = self.estimate_wait_s(item)
        late_s = now_s + wait_s - item.latest_first_token_s
        if late_s > self.settings.slack_s:
            reason = f"The wait of {wait_s:.2f} s is {late_s:.2f} s too long."
            return self.build_overload_refusal(reason, late_s)
        self.waiting[profile.request_id] = item
        return None

    def build_overload_refusal(self, reason: str, retry_after_s: float) -> Refusal:
        """Build a refusal for an overloaded endpoint.

        :param reason: human-readable reason.
        :param retry_after_s: seconds of backlog to be processed before a retry.
        """
        retry_after_s = max(self.settings.min_retry_after_s, retry_after_s)
        return Refusal(Code.OVERLOADED, reason, retry_after_s)

    def estimate_decode_s(self, profile: RequestProfile) -> float:
        """Estimate the seconds from a request's first token to its last.

        :param profile: the request.
        """
        decode_s = max(0, profile.expected_tokens - 1) / self.decode_tokens_per_s
        return decode_s * self.settings.decode_margin

    def compute_latest_first_token_s(self, profile: RequestProfile) -> float:
        """Return the latest time for the first token of a request, in seconds.

        :param profile: the request.
        """
        return min(
            profile.deadline_s - self.estimate_decode_s(profile),
            profile.first_token_deadline_s,
        )

    def estimate_wait_s(self, item: WaitingRequest | None = None) -> float:
        """Estimate the seconds until a request's first token.

        :param item: the request; without it, a request at the end of the queue.
        """
        ahead = [
            other
            for other in self.waiting.values()
            if item is None or other.rank <= item.rank
        ]
        tokens = sum(other.prefill_tokens for other in ahead) + (
            item.prefill_tokens if item else 0
        )
        priority = item.profile.priority if item else float("-inf")
        tokens += self.count_prefilling_tokens(priority)
        slot_wait_s = self.estimate_slot_wait_s(len(ahead))
        return max(slot_wait_s, tokens / self.prefill_tokens_per_s)

    def estimate_slot_wait_s(self, ahead: int) -> float:
        """Estimate the seconds until a slot on the endpoint is free.

        :param ahead: number of waiting requests that start first.
        """
        excess = ahead + 1 + len(self.running) - self.running_limit
        if excess <= 0 or not self.running:
            return 0.0
        return excess * self.residence_s / self.running_limit

    def compute_rank(
        self, now_s: float, profile: RequestProfile
    ) -> tuple[float, float, float]:
        """Return the sort key of a request: priority, then deadline and fair share.

        :param now_s: current time in seconds.
        :param profile: the request.
        """
        virtual_deadline_s = self.compute_latest_first_token_s(profile)
        if virtual_deadline_s == float("inf"):
            virtual_deadline_s = now_s
        if self.settings.fairness:
            virtual_deadline_s += self.compute_share_delay_s(profile.organisation)
        return (-float(profile.priority), virtual_deadline_s, now_s)

    def compute_share_delay_s(self, organisation: str) -> float:
        """Return how many seconds an organisation's requests are delayed in the queue.

        This is the work in seconds, divided by the weight, that it has received
        beyond the lowest total of the active organisations, but at most
        ``share_window_s``.

        :param organisation: organisation name.
        """
        excess_work_s = (
            self.served_work_s.get(organisation, self.served_floor_s)
            - self.served_floor_s
        )
        return min(self.settings.share_window_s, max(0.0, excess_work_s))

    # Start and end

    def start(self, now_s: float) -> list[RequestProfile]:
        """Move requests that can start now to the endpoint, and return them.

        :param now_s: current time in seconds.
        """
        started_requests: list[RequestProfile] = []
        if not self.waiting:
            return started_requests
        for item in sorted(self.waiting.values(), key=lambda item: item.rank):
            if len(self.running) >= self.running_limit:
                break
            if (
                self.count_prefilling_tokens(item.profile.priority)
                > self.max_engine_prefill_tokens
            ):
                break
            del self.waiting[item.profile.request_id]
            self.mark_running(now_s, item)
            started_requests.append(item.profile)
        return started_requests

    @property
    def max_engine_prefill_tokens(self) -> float:
        """Number of tokens in prefill above which the engine gets no more requests."""
        return self.settings.engine_prefill_s * self.prefill_tokens_per_s

    def mark_running(self, now_s: float, item: WaitingRequest) -> None:
        """Record that a request was sent to the endpoint.

        Its work is added to the work that its organisation has received. An
        organisation that was idle starts at the lowest total of the active ones, so
        that it cannot save up capacity that it did not use.

        :param now_s: current time in seconds.
        :param item: the request.
        """
        profile = item.profile
        is_only_prefill = not any(
            other.is_prefilling for other in self.running.values()
        )
        self.speeds.record_prefill_start(now_s, is_only_prefill=is_only_prefill)
        self.running[profile.request_id] = RunningRequest(
            profile, now_s, item.prefill_tokens
        )
        self.prefixes.add(LOCAL_ENDPOINT, profile.prefix_hashes)
        prefill_s = item.prefill_tokens / self.prefill_tokens_per_s
        work_s = (
            prefill_s + self.estimate_decode_s(profile) / self.running_limit
        ) / profile.weight
        organisation = profile.organisation
        served_before_s = max(
            self.served_floor_s, self.served_work_s.get(organisation, 0.0)
        )
        self.served_work_s[organisation] = served_before_s + work_s
        active_organisations = {
            item.profile.organisation for item in self.waiting.values()
        }
        active_organisations.add(organisation)
        lowest_s = min(
            self.served_work_s.get(name, self.served_floor_s)
            for name in active_organisations
        )
        self.served_floor_s = max(self.served_floor_s, lowest_s)
        if len(self.served_work_s) > 4 * self.settings.max_queued:
            self.served_work_s = {
                name: served_s
                for name, served_s in self.served_work_s.items()
                if served_s > self.served_floor_s
            }

    def record_first_token(self, now_s: float, request_id: str) -> None:
        """Record that the endpoint has finished the prefill of a request.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request.
        """
        item = self.running.get(request_id)
        if item is None or not item.is_prefilling:
            return
        item.first_token_s = now_s
        self.speeds.record_prefill_end(now_s, item.prefill_tokens)

    def record_finished(
        self, now_s: float, request_id: str, output_tokens: int | None = None
    ) -> None:
        """Record that a request has left the endpoint.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request.
        :param output_tokens: length of the response in tokens; the expected length if
            it is not given.
        """
        item = self.running.pop(request_id, None)
        if item is None or item.first_token_s is None:
            return
        tokens = output_tokens or item.profile.expected_tokens
        self.speeds.record_finished(
            now_s, tokens, now_s - item.first_token_s, now_s - item.started_s
        )

    def cancel(self, request_id: str) -> None:
        """Remove a request, whether it is waiting or running.

        :param request_id: identifier of the request.
        """
        self.waiting.pop(request_id, None)
        self.running.pop(request_id, None)

    def remove_expired(self, now_s: float) -> list[ExpiredRequest]:
        """Remove and return waiting requests that can no longer meet their deadline.

        :param now_s: current time in seconds.
        """
        expired: list[ExpiredRequest] = []
        for item in list(self.waiting.values()):
            late_s = now_s - item.latest_first_token_s
            if late_s <= self.settings.slack_s:
                continue
            del self.waiting[item.profile.request_id]
            retry_after_s = self.estimate_wait_s()
            reason = "The remaining time is too short for the response."
            expired.append(
                ExpiredRequest(
                    item.profile, self.build_overload_refusal(reason, retry_after_s)
                )
            )
        return expired
