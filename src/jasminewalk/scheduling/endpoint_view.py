"""Backlog and learned speeds of one endpoint, as estimated by an entry."""

import math

import attrs

from jasminewalk.generated_messages import LoadReport

__all__ = ["EndpointView", "InFlightRequest", "Prediction", "SpeedSettings"]

IDLE_LATENCY_S = 0.005
MAX_CORRECTION_RATIO = 8.0
MAX_ELAPSED_S = 60.0


@attrs.frozen(kw_only=True)
class SpeedSettings:
    """Settings for learning speeds and estimating backlogs.

    :param learning_rate: weight of a new latency observation.
    :param max_first_token_correction: largest learned factor that is applied to a
        predicted time to the first token.
    :param default_prefill_tokens_per_s: prefill speed before the first report.
    :param default_decode_tokens_per_s: decode speed before the first report.
    :param default_residence_s: seconds that a request spends on an engine, assumed
        before the first report.
    :param default_call_s: duration in seconds of a call to a plain service, assumed
        before the first one is observed.
    :param slow_ratio: ratio of observed to predicted time above which an endpoint
        counts as slow.
    :param slow_samples: minimum number of observations before an endpoint can count
        as slow.
    :param probation_s: seconds between trial requests to a slow endpoint.
    :param failures_to_probation: consecutive failures that start a probation.
    :param count_own_requests: whether this entry's own requests in flight are taken
        into account besides the reported load.
    :param report_decay_s: age in seconds at which the weight of a report against this
        entry's own requests in flight has fallen to about a third.
    """

    learning_rate: float = 0.1
    max_first_token_correction: float = 3.0
    default_prefill_tokens_per_s: float = 4000.0
    default_decode_tokens_per_s: float = 40.0
    default_residence_s: float = 1.0
    default_call_s: float = 0.02
    slow_ratio: float = 3.0
    slow_samples: int = 8
    probation_s: float = 2.0
    failures_to_probation: int = 2
    count_own_requests: bool = True
    report_decay_s: float = 3.0


@attrs.define(kw_only=True)
class InFlightRequest:
    """A request that this entry has sent and that has not ended yet.

    :param request_id: identifier of the request.
    :param endpoint: endpoint name.
    :param organisation: organisation name.
    :param request_class: name of the request class.
    :param pool: pool name.
    :param sent_s: time at which the request was sent, in seconds.
    :param prefill_tokens: prompt tokens expected to need prefill.
    :param output_tokens: expected output tokens.
    :param priority: priority of the request.
    :param prefix_hashes: hashes of the prompt's leading blocks.
    :param cached_tokens: prompt tokens expected in the prefix cache.
    :param predicted_first_token_s: predicted seconds to the first token.
    :param predicted_decode_s: predicted seconds from the first to the last token.
    :param first_token_s: time of the first token in seconds; ``None`` before it
        arrives.
    """

    request_id: str
    endpoint: str
    organisation: str
    request_class: str
    pool: str
    sent_s: float
    prefill_tokens: int
    output_tokens: int
    priority: int = 0
    prefix_hashes: tuple[int, ...] = ()
    cached_tokens: int = 0
    predicted_first_token_s: float = 0.0
    predicted_decode_s: float = 0.0
    first_token_s: float | None = None


@attrs.define
class Prediction:
    """Predicted response times of an endpoint for a request.

    :param first_token_s: seconds until the first token.
    :param finish_s: seconds until the last token.
    :param work_s: seconds of prefill work; the whole call for a plain service.
    :param wait_s: seconds spent waiting for other requests.
    """

    first_token_s: float
    finish_s: float
    work_s: float
    wait_s: float = 0.0


@attrs.define
class _InFlightTotals:
    """Totals of this entry's requests in flight with one priority.

    :param requests: number of requests.
    :param prefill_tokens: prompt tokens of the requests without a first token.
    """

    requests: int = 0
    prefill_tokens: int = 0


@attrs.define
class _LoadAhead:
    """Work on an endpoint that precedes a new request.

    :param requests: requests on the endpoint or ahead in its queue.
    :param prefill_tokens: prompt tokens to be prefilled first.
    :param residence_s: seconds that a request spends on the endpoint.
    """

    requests: float
    prefill_tokens: float
    residence_s: float


class EndpointView:
    """Load, speeds and health of one endpoint, as known to one entry.

    The prefill and decode speeds hold for the current mix of requests.

    :param endpoint: endpoint name.
    :param settings: settings for learning and estimation.
    """

    def __init__(self, endpoint: str, settings: SpeedSettings) -> None:
        self.endpoint = endpoint
        self.settings = settings
        self.report: LoadReport | None = None
        self.load_measured_s = float("-inf")
        self.prefill_tokens_per_s = settings.default_prefill_tokens_per_s
        self.decode_tokens_per_s = settings.default_decode_tokens_per_s
        self.residence_s = settings.default_residence_s
        self.slots = 1
        self.in_flight_requests: dict[str, InFlightRequest] = {}
        self.in_flight_by_priority: dict[int, _InFlightTotals] = {}
        self.first_token_ratio = 1.0
        self.decode_ratio = 1.0
        self.first_token_samples = 0
        self.failures = 0
        self.last_trial_s = float("-inf")

    def add(self, request: InFlightRequest) -> None:
        """Add a request that was sent to the endpoint.

        :param request: the request.
        """
        self.in_flight_requests[request.request_id] = request
        totals = self.in_flight_by_priority.setdefault(
            request.priority, _InFlightTotals()
        )
        totals.requests += 1
        totals.prefill_tokens += request.prefill_tokens

    def remove(self, request: InFlightRequest) -> None:
        """Remove a request that was sent to the endpoint.

        :param request: the request.
        """
        if self.in_flight_requests.pop(request.request_id, None) is None:
            return
        totals = self.in_flight_by_priority[request.priority]
        totals.requests -= 1
        if request.first_token_s is None:
            totals.prefill_tokens -= request.prefill_tokens

    def observe_report(self, now_s: float, report: LoadReport) -> None:
        """Apply a load report, unless a newer one of the same incarnation is known.

        A new incarnation starts without recorded failures.

        :param now_s: current time in seconds.
        :param report: the report.
        """
        previous = self.report
        if previous is not None and previous.incarnation == report.incarnation:
            if report.sequence <= previous.sequence:
                return
        elif previous is not None:
            self.failures = 0
        self.report = report
        self.load_measured_s = now_s - report.report_age_s
        settings = self.settings
        self.prefill_tokens_per_s = (
            report.prefill_tokens_per_s or settings.default_prefill_tokens_per_s
        )
        self.decode_tokens_per_s = (
            report.decode_tokens_per_s or settings.default_decode_tokens_per_s
        )
        self.residence_s = report.residence_s or settings.default_residence_s
        self.slots = max(1, report.max_batch)

    def compute_load_age_s(self, now_s: float) -> float:
        """Return the age of the load figures in seconds; infinite before any report.

        :param now_s: current time in seconds.
        """
        return now_s - self.load_measured_s

    @property
    def is_service(self) -> bool:
        """Whether the endpoint is a plain service."""
        return self.report is not None and self.report.kind == "service"

    @property
    def residence_per_slot_s(self) -> float:
        """Seconds of endpoint time that a request takes up by holding one slot."""
        return self.residence_s / self.slots

    def predict(
        self,
        now_s: float,
        prefill_tokens: int,
        output_tokens: int,
        priority: int = 0,
        fleet_request_ratio: float = 1.0,
    ) -> Prediction:
        """Predict the response times of a request that is sent now.

        :param now_s: current time in seconds.
        :param prefill_tokens: prompt tokens that need prefill.
        :param output_tokens: expected output tokens.
        :param priority: priority of the request.
        :param fleet_request_ratio: requests of all entries per request of this entry.
        """
        if self.is_service:
            return self.predict_service(now_s, fleet_request_ratio)
        load = self.estimate_load(now_s, priority, fleet_request_ratio)
        slots = self.slots
        decode_rate = self.decode_tokens_per_s
        excess = load.requests + 1.0 - slots
        wait_s = 0.0
        if excess > 0.0:
            wait_s = excess * load.residence_s / slots
        prefill_s = (load.prefill_tokens + prefill_tokens) / self.prefill_tokens_per_s
        first_token_s = IDLE_LATENCY_S + max(wait_s, prefill_s) * min(
            self.first_token_ratio, self.settings.max_first_token_correction
        )
        decode_s = output_tokens / decode_rate * self.decode_ratio
        work_s = prefill_tokens / self.prefill_tokens_per_s
        wait_for_others_s = max(0.0, first_token_s - IDLE_LATENCY_S - work_s)
        return Prediction(
            first_token_s, first_token_s + decode_s, work_s, wait_for_others_s
        )

    def estimate_load(
        self, now_s: float, priority: int, fleet_request_ratio: float
    ) -> _LoadAhead:
        """Estimate the work that precedes a request sent now.

        :param now_s: current time in seconds.
        :param priority: priority of the request.
        :param fleet_request_ratio: requests of all entries per request of this entry.
        """
        report = self.report
        if report is None:
            return _LoadAhead(0.0, 0.0, self.settings.default_residence_s)
        requests = float(report.running)
        tokens = float(report.queued_prefill_tokens)
        for level in report.levels:
            if level.priority >= priority:
                requests += level.requests
            else:
                tokens -= level.prefill_tokens
        if not report.levels:
            requests += report.queued
        own_requests = own_prefill_tokens = 0.0
        if self.settings.count_own_requests:
            for own_priority, totals in self.in_flight_by_priority.items():
                if own_priority >= priority:
                    own_requests += fleet_request_ratio * totals.requests
                    own_prefill_tokens += fleet_request_ratio * totals.prefill_tokens
            # Newest first: the report already covers the older requests.
            for request in reversed(self.in_flight_requests.values()):
                if request.sent_s <= self.load_measured_s:
                    break
                if request.priority >= priority:
                    requests += fleet_request_ratio
                    if request.first_token_s is None:
                        tokens += fleet_request_ratio * request.prefill_tokens
        elapsed_s = min(self.compute_load_age_s(now_s), MAX_ELAPSED_S)
        tokens = max(0.0, tokens - elapsed_s * self.prefill_tokens_per_s)
        residence_s = self.residence_s
        ended = elapsed_s * min(self.slots, requests) / residence_s
        requests = max(0.0, requests - ended)
        if self.settings.count_own_requests:
            # The older the report, the more the entry relies on its own requests.
            report_weight = math.exp(-elapsed_s / self.settings.report_decay_s)
            requests = own_requests + report_weight * (requests - own_requests)
            tokens = own_prefill_tokens + report_weight * (tokens - own_prefill_tokens)
        return _LoadAhead(requests, tokens, residence_s)

    def predict_service(self, now_s: float, fleet_request_ratio: float) -> Prediction:
        """Predict the response time of a plain service for a call sent now.

        :param now_s: current time in seconds.
        :param fleet_request_ratio: requests of all entries per request of this entry.
        """
        report = self.report
        waiting = float(report.queued + report.running) if report else 0.0
        waiting += fleet_request_ratio * sum(
            request.sent_s > self.load_measured_s
            for request in self.in_flight_requests.values()
        )
        slots = max(1, report.max_batch) if report else 1
        call_s = self.settings.default_call_s * self.first_token_ratio
        finish_s = call_s * (1.0 + waiting / slots)
        return Prediction(finish_s, finish_s, call_s)

    def record_first_token(self, now_s: float, request: InFlightRequest) -> None:
        """Record the first token of a request and learn from its delay.

        :param now_s: current time in seconds.
        :param request: the request.
        """
        if request.first_token_s is not None:
            return
        request.first_token_s = now_s
        if request.request_id in self.in_flight_requests:
            totals = self.in_flight_by_priority[request.priority]
            totals.prefill_tokens -= request.prefill_tokens
        self.failures = 0
        observed_s = now_s - request.sent_s
        ratio = observed_s / max(request.predicted_first_token_s, IDLE_LATENCY_S)
        self.first_token_ratio = self.update_ratio(
            self.first_token_ratio, ratio * self.first_token_ratio
        )
        self.first_token_samples += 1

    def record_finished(
        self, now_s: float, request: InFlightRequest, output_tokens: int
    ) -> None:
        """Record the end of a request and learn from its decode time.

        :param now_s: current time in seconds.
        :param request: the request.
        :param output_tokens: length of the response in tokens.
        """
        self.failures = 0
        if request.first_token_s is None or output_tokens < 2:
            return
        expected_s = request.predicted_decode_s * output_tokens / request.output_tokens
        ratio = (now_s - request.first_token_s) / max(expected_s, IDLE_LATENCY_S)
        self.decode_ratio = self.update_ratio(
            self.decode_ratio, ratio * self.decode_ratio
        )

    def update_ratio(self, old: float, new: float) -> float:
        """Return a ratio moved towards a new observation, which is bounded first.

        :param old: current ratio.
        :param new: observed ratio.
        """
        rate = self.settings.learning_rate
        bounded_ratio = min(MAX_CORRECTION_RATIO, max(1.0 / MAX_CORRECTION_RATIO, new))
        return old + rate * (bounded_ratio - old)

    def record_failure(self) -> None:
        """Record a failed request."""
        self.failures += 1

    def is_on_probation(self, now_s: float) -> bool:
        """Return whether the endpoint is on probation and must not get a request now.

        A slow or failing endpoint gets single trial requests, ``probation_s`` apart.

        :param now_s: current time in seconds.
        """
        settings = self.settings
        is_slow = (
            self.first_token_samples >= settings.slow_samples
            and self.first_token_ratio > settings.slow_ratio
            and self.decode_ratio > settings.slow_ratio
        )
        if not is_slow and self.failures < settings.failures_to_probation:
            return False
        return (
            bool(self.in_flight_requests)
            or now_s - self.last_trial_s < settings.probation_s
        )
