"""Generate the random requests of a workload and estimate the work of each."""

import math
import random
from collections.abc import Iterator
from pathlib import Path

import attrs
import msgspec

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.generated_measure import MeasureClass, Workload
from jasminewalk.generated_requests import GenerateRequest
from jasminewalk.generated_standins import EngineModelSettings
from jasminewalk.types import RequestProfile

__all__ = [
    "MeasuredRequest",
    "TrafficGenerator",
    "apply_variant",
    "build_engine_settings",
    "build_generate_request",
    "build_profile",
    "compute_deadline_s",
    "load_workload",
]

LENGTH_SPREAD = 0.5  # Lengths are uniform between 0.5 and 1.5 times their mean.
ZIPF_EXPONENT = 0.8


@attrs.define(kw_only=True, eq=False)
class MeasuredRequest:
    """A request and its outcome.

    :param number: number of the request in order of arrival.
    :param organisation: organisation name.
    :param request_class: class name.
    :param arrived_s: time of arrival in seconds.
    :param prompt_tokens: prompt length in tokens.
    :param prefix_hashes: hashes of the prompt's blocks.
    :param output_tokens: length of the answer in tokens.
    :param max_tokens: upper limit on output tokens.
    :param work_s: minimum seconds on an engine of speed 1 in the mixed role.
    :param prefill_s: part of ``work_s`` that is prefill.
    :param outcome: ``good``, ``late`` or ``refused``; empty until it is known.
    :param first_token_at_s: time of the first token in seconds.
    :param ended_s: time of the outcome in seconds.
    :param p95_gap_s: 95th percentile of the seconds between tokens.
    :param attempts: number of attempts made.
    :param delivered_tokens: output tokens sent to the caller before a crash.
    :param refusal_delay_s: upper limit on the seconds between the time when the request
        can no longer meet its deadline and its refusal.
    :param entry: number of the entry.
    :param endpoint: endpoint of the last attempt.
    """

    number: int
    organisation: str
    request_class: str
    arrived_s: float
    prompt_tokens: int
    prefix_hashes: tuple[int, ...]
    output_tokens: int
    max_tokens: int
    work_s: float
    prefill_s: float
    outcome: str = ""
    first_token_at_s: float | None = None
    ended_s: float = 0.0
    p95_gap_s: float = 0.0
    attempts: int = 0
    delivered_tokens: int = 0
    refusal_delay_s: float = 0.0
    entry: int = 0
    endpoint: str = ""


def load_workload(path: Path) -> Workload:
    """Load a workload from a file.

    :param path: YAML file.
    :raises BadSettingsError: if the file is not valid.
    """
    try:
        return msgspec.yaml.decode(path.read_bytes(), type=Workload)
    except (OSError, msgspec.MsgspecError) as error:
        raise BadSettingsError(f"{path}: {error}") from error


def apply_variant(workload: Workload, name: str) -> Workload:
    """Return a workload with the fields of one of its variants.

    :param workload: the workload.
    :param name: name of the variant; empty for the workload itself.
    :raises BadSettingsError: if the variant is unknown.
    """
    if not name:
        return workload
    if name not in workload.variants:
        known = ", ".join(workload.variants)
        raise BadSettingsError(f"Unknown variant {name!r}; known variants are {known}.")
    fields = msgspec.to_builtins(workload) | workload.variants[name]
    return msgspec.convert(fields, Workload)


def build_engine_settings(workload: Workload, number: int) -> EngineModelSettings:
    """Build the settings of one engine from its speed.

    :param workload: the workload.
    :param number: number of the engine.
    """
    speed = workload.speeds[number]
    base = msgspec.convert(workload.engine, EngineModelSettings)
    return attrs.evolve(
        base,
        prefill_tokens_per_s=base.prefill_tokens_per_s * speed,
        prefill_chunk_tokens=max(1, int(base.prefill_chunk_tokens * speed)),
        decode_step_s=base.decode_step_s / speed,
        decode_step_per_stream_s=base.decode_step_per_stream_s / speed,
        report_lag_s=0.0,
        event_lag_s=workload.event_age_s,
        event_loss=workload.event_loss,
    )


def compute_deadline_s(workload: Workload, request: MeasuredRequest) -> float:
    """Return the time of a request's deadline in seconds.

    :param workload: the workload.
    :param request: the request.
    """
    return request.arrived_s + workload.classes[request.request_class].deadline_s


def build_profile(
    workload: Workload, pool: str, request: MeasuredRequest
) -> RequestProfile:
    """Build the profile of a request for scheduling.

    A request that is resumed after a crash has no deadline, because an answer that has
    begun must be completed and not refused.

    :param workload: the workload.
    :param pool: pool name.
    :param request: the request.
    """
    class_settings = workload.classes[request.request_class]
    delivered = request.delivered_tokens
    deadline_s = math.inf if delivered else compute_deadline_s(workload, request)
    first_token_deadline_s = (
        math.inf if delivered else request.arrived_s + class_settings.first_token_s
    )
    return RequestProfile(
        request_id=str(request.number),
        organisation=request.organisation,
        request_class=request.request_class,
        pool=pool,
        prompt_tokens=request.prompt_tokens + delivered,
        expected_tokens=max(1, class_settings.output_tokens - delivered),
        max_tokens=max(1, request.max_tokens - delivered),
        prefix_hashes=request.prefix_hashes,
        arrived_s=request.arrived_s,
        deadline_s=deadline_s,
        first_token_deadline_s=first_token_deadline_s,
        priority=class_settings.priority,
        weight=workload.organisations[request.organisation].weight,
    )


def build_generate_request(
    request: MeasuredRequest, profile: RequestProfile
) -> GenerateRequest:
    """Build the request of one attempt for the engine.

    :param request: the request.
    :param profile: profile of the request.
    """
    return GenerateRequest(
        request_id=profile.request_id,
        attempt=request.attempts,
        organisation=request.organisation,
        request_class=request.request_class,
        model="",
        prompt="",
        prompt_tokens=request.prompt_tokens,
        prefix_hashes=list(request.prefix_hashes),
        max_tokens=request.max_tokens,
        expected_tokens=profile.expected_tokens + request.delivered_tokens,
        deadline_s=profile.deadline_s,
        priority=profile.priority,
        resume_from=request.delivered_tokens,
    )


class TrafficGenerator:
    """Generator of the random requests of a workload.

    :param workload: the workload.
    :param seed: seed of the random source.
    """

    def __init__(self, workload: Workload, seed: int) -> None:
        self.workload = workload
        self.rng = random.Random(seed)
        self.engine = msgspec.convert(workload.engine, EngineModelSettings)
        self.phases = list(self.draw_phases())
        self.prefix_weights = {
            name: [1.0 / (rank + 1) ** ZIPF_EXPONENT for rank in range(item.prefixes)]
            for name, item in workload.classes.items()
        }

    def draw_phases(self) -> Iterator[tuple[float, float]]:
        """Yield the start of each phase in seconds and the first class's work share."""
        min_s, max_s = self.workload.phase_s
        start_s = 0.0
        share_index = self.rng.randrange(2)
        while start_s < self.workload.duration_s:
            yield start_s, self.workload.work_share[share_index]
            start_s += self.rng.uniform(min_s, max_s)
            share_index = 1 - share_index

    def get_work_share(self, now_s: float) -> float:
        """Return the first class's share of the work at a time.

        :param now_s: the time in seconds.
        """
        return [share for start_s, share in self.phases if start_s <= now_s][-1]

    def compute_prefill_s(self, tokens: float) -> float:
        """Return the minimum seconds to prefill a number of tokens, in full chunks.

        :param tokens: prompt tokens that are not cached.
        """
        chunk_tokens = self.engine.prefill_chunk_tokens
        chunk_s = self.engine.chunk_overhead_s
        chunk_s += chunk_tokens / self.engine.prefill_tokens_per_s
        return tokens * chunk_s / chunk_tokens

    def compute_decode_s(self, tokens: float) -> float:
        """Return the minimum seconds to decode a number of tokens, in full batches.

        :param tokens: output tokens.
        """
        batch_size = self.engine.max_batch
        step_s = self.engine.decode_step_s
        step_s += self.engine.decode_step_per_stream_s * (batch_size - 1)
        return tokens * step_s / batch_size

    def compute_mean_work_s(self, class_settings: MeasureClass) -> float:
        """Return the minimum seconds of work for a request of mean lengths.

        :param class_settings: settings of the class.
        """
        return self.compute_prefill_s(
            class_settings.suffix_tokens
        ) + self.compute_decode_s(class_settings.output_tokens)

    def generate_requests(self) -> list[MeasuredRequest]:
        """Generate all requests in order of arrival.

        Arrivals of each class are a Poisson process at the rate at which the class
        would be all of the work; each arrival is kept with a probability equal to the
        class's share of the work at that time.
        """
        requests: list[MeasuredRequest] = []
        class_names = list(self.workload.classes)
        capacity = sum(self.workload.speeds) * self.workload.load
        for index, name in enumerate(class_names):
            class_settings = self.workload.classes[name]
            peak_rate = capacity / self.compute_mean_work_s(class_settings)
            now_s = 0.0
            while True:
                now_s += self.rng.expovariate(peak_rate)
                if now_s >= self.workload.duration_s:
                    break
                share = self.get_work_share(now_s)
                share = share if index == 0 else (1.0 - share) / (len(class_names) - 1)
                if self.rng.random() < share:
                    requests.append(self.generate_request(now_s, name, class_settings))
        requests.sort(key=lambda request: request.arrived_s)
        for number, request in enumerate(requests):
            request.number = number
        return requests

    def generate_request(
        self, now_s: float, name: str, class_settings: MeasureClass
    ) -> MeasuredRequest:
        """Generate one request.

        :param now_s: time of arrival in seconds.
        :param name: class name.
        :param class_settings: settings of the class.
        """
        block_tokens = self.engine.block_tokens
        suffix_tokens = self.draw_length(class_settings.suffix_tokens)
        output_tokens = self.draw_length(class_settings.output_tokens)
        prefix_weights = self.prefix_weights[name]
        prefix = self.rng.choices(range(class_settings.prefixes), prefix_weights)[0]
        prefix_hash = self.compute_prefix_hash(name, prefix)
        prefix_blocks = class_settings.prefix_tokens // block_tokens
        hashes = [prefix_hash + index for index in range(prefix_blocks)]
        suffix_hash = self.rng.getrandbits(48) << 12
        hashes += [
            suffix_hash + index for index in range(suffix_tokens // block_tokens)
        ]
        return MeasuredRequest(
            number=0,
            organisation=self.draw_organisation(),
            request_class=name,
            arrived_s=now_s,
            prompt_tokens=class_settings.prefix_tokens + suffix_tokens,
            prefix_hashes=tuple(hashes),
            output_tokens=output_tokens,
            max_tokens=2 * class_settings.output_tokens,
            work_s=self.compute_prefill_s(suffix_tokens)
            + self.compute_decode_s(output_tokens),
            prefill_s=self.compute_prefill_s(suffix_tokens),
        )

    def compute_prefix_hash(self, name: str, prefix: int) -> int:
        """Return the hash of the first block of a prefix.

        Hashes of prefixes have bit 62 set, which no hash of a suffix has.

        :param name: class name.
        :param prefix: number of the prefix.
        """
        class_index = list(self.workload.classes).index(name)
        return (1 << 62) + (class_index << 40) + (prefix << 16)

    def draw_length(self, mean: int) -> int:
        """Draw a length around a mean.

        :param mean: the mean in tokens.
        """
        return max(
            1, round(mean * self.rng.uniform(1.0 - LENGTH_SPREAD, 1.0 + LENGTH_SPREAD))
        )

    def draw_organisation(self) -> str:
        """Draw the organisation of a request."""
        organisations = self.workload.organisations
        weights = [item.part for item in organisations.values()]
        return self.rng.choices(list(organisations), weights)[0]
