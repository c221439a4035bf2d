"""Requests of a workload, drawn with a seed, and the work that each one takes."""

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
    "Traffic",
    "deadline_of",
    "engine_settings",
    "generation_of",
    "load_workload",
    "profile_of",
    "variant",
]

SPREAD = 0.5
ZIPF_EXPONENT = 0.8


@attrs.define(kw_only=True, eq=False)
class MeasuredRequest:
    """A request and what became of it.

    :param number: number of the request.
    :param organisation: organisation name.
    :param request_class: class name.
    :param arrived_s: instant of arrival in seconds.
    :param prompt_tokens: prompt length in tokens.
    :param prefix_hashes: hashes of the prompt's blocks.
    :param output_tokens: length of the answer.
    :param max_tokens: most output tokens.
    :param work_s: least seconds of an engine of speed 1 in the mixed role.
    :param prefill_s: part of them that is prefill.
    :param outcome: good, late, refused or broken; empty while it runs.
    :param first_s: instant of the first token in seconds.
    :param ended_s: instant of the outcome in seconds.
    :param gap_s: 95th percentile of the seconds between tokens.
    :param attempts: attempts made.
    :param done_tokens: output tokens that the caller has.
    :param told_late_s: seconds between becoming hopeless and the refusal.
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
    first_s: float | None = None
    ended_s: float = 0.0
    gap_s: float = 0.0
    attempts: int = 0
    done_tokens: int = 0
    told_late_s: float = 0.0
    entry: int = 0
    endpoint: str = ""


def load_workload(path: Path) -> Workload:
    """Return the workload of a file.

    :param path: YAML file.
    :raises BadSettingsError: if the file is not valid.
    """
    try:
        return msgspec.yaml.decode(path.read_bytes(), type=Workload)
    except (OSError, msgspec.MsgspecError) as error:
        raise BadSettingsError(f"{path}: {error}") from error


def variant(workload: Workload, name: str) -> Workload:
    """Return a variant of a workload.

    :param workload: the workload.
    :param name: name of the variant; empty for the workload itself.
    :raises BadSettingsError: if there is no such variant.
    """
    if not name:
        return workload
    if name not in workload.variants:
        known = ", ".join(workload.variants)
        raise BadSettingsError(f"There is no variant {name!r}; there are {known}.")
    fields = msgspec.to_builtins(workload) | workload.variants[name]
    return msgspec.convert(fields, Workload)


def engine_settings(workload: Workload, number: int) -> EngineModelSettings:
    """Return the settings of one engine.

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


def deadline_of(workload: Workload, request: MeasuredRequest) -> float:
    """Return the instant of a request's deadline in seconds.

    :param workload: the workload.
    :param request: the request.
    """
    return request.arrived_s + workload.classes[request.request_class].deadline_s


def profile_of(
    workload: Workload, pool: str, request: MeasuredRequest
) -> RequestProfile:
    """Return what decisions know of a request; a resumed one has no deadline.

    :param workload: the workload.
    :param pool: pool name.
    :param request: the request.
    """
    item = workload.classes[request.request_class]
    done = request.done_tokens
    deadline_s = math.inf if done else deadline_of(workload, request)
    first_s = math.inf if done else request.arrived_s + item.first_token_s
    return RequestProfile(
        request_id=str(request.number),
        organisation=request.organisation,
        request_class=request.request_class,
        pool=pool,
        prompt_tokens=request.prompt_tokens + done,
        expected_tokens=max(1, item.output_tokens - done),
        max_tokens=max(1, request.max_tokens - done),
        prefix_hashes=request.prefix_hashes,
        arrived_s=request.arrived_s,
        deadline_s=deadline_s,
        first_token_deadline_s=first_s,
        priority=item.priority,
        weight=workload.organisations[request.organisation].weight,
    )


def generation_of(request: MeasuredRequest, profile: RequestProfile) -> GenerateRequest:
    """Return an attempt as the engine gets it.

    :param request: the request.
    :param profile: what decisions know of it.
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
        expected_tokens=profile.expected_tokens + request.done_tokens,
        deadline_s=profile.deadline_s,
        priority=profile.priority,
        resume_from=request.done_tokens,
    )


class Traffic:
    """Draws the requests of a workload.

    :param workload: the workload.
    :param seed: seed of the random source.
    """

    def __init__(self, workload: Workload, seed: int) -> None:
        self.workload = workload
        self.rng = random.Random(seed)
        self.engine = msgspec.convert(workload.engine, EngineModelSettings)
        self.phases = list(self.draw_phases())
        self.popularity = {
            name: [1.0 / (rank + 1) ** ZIPF_EXPONENT for rank in range(item.prefixes)]
            for name, item in workload.classes.items()
        }

    def draw_phases(self) -> Iterator[tuple[float, float]]:
        """Yield the start of each phase and the first class's share of the work."""
        least_s, greatest_s = self.workload.phase_s
        start_s = 0.0
        side = self.rng.randrange(2)
        while start_s < self.workload.duration_s:
            yield start_s, self.workload.work_share[side]
            start_s += self.rng.uniform(least_s, greatest_s)
            side = 1 - side

    def share_at(self, now_s: float) -> float:
        """Return the first class's share of the work at an instant.

        :param now_s: the instant in seconds.
        """
        return [share for start_s, share in self.phases if start_s <= now_s][-1]

    def prefill_s(self, tokens: float) -> float:
        """Return the least seconds for the prefill of some tokens.

        :param tokens: prompt tokens that are not cached.
        """
        chunk = self.engine.prefill_chunk_tokens
        chunk_s = self.engine.chunk_overhead_s
        chunk_s += chunk / self.engine.prefill_tokens_per_s
        return tokens * chunk_s / chunk

    def decode_s(self, tokens: float) -> float:
        """Return the least seconds for the decode of some tokens.

        :param tokens: output tokens.
        """
        batch = self.engine.max_batch
        step_s = self.engine.decode_step_s
        step_s += self.engine.decode_step_per_stream_s * (batch - 1)
        return tokens * step_s / batch

    def mean_work_s(self, item: MeasureClass) -> float:
        """Return the least seconds of a request of mean lengths.

        :param item: the class.
        """
        return self.prefill_s(item.suffix_tokens) + self.decode_s(item.output_tokens)

    def requests(self) -> list[MeasuredRequest]:
        """Return all requests in order of arrival."""
        found: list[MeasuredRequest] = []
        names = list(self.workload.classes)
        capacity = sum(self.workload.speeds) * self.workload.load
        for index, name in enumerate(names):
            item = self.workload.classes[name]
            peak = capacity / self.mean_work_s(item)
            now_s = 0.0
            while True:
                now_s += self.rng.expovariate(peak)
                if now_s >= self.workload.duration_s:
                    break
                share = self.share_at(now_s)
                share = share if index == 0 else (1.0 - share) / (len(names) - 1)
                if self.rng.random() < share:
                    found.append(self.request(now_s, name, item))
        found.sort(key=lambda request: request.arrived_s)
        for number, request in enumerate(found):
            request.number = number
        return found

    def request(self, now_s: float, name: str, item: MeasureClass) -> MeasuredRequest:
        """Return one request.

        :param now_s: instant of arrival in seconds.
        :param name: class name.
        :param item: the class.
        """
        block = self.engine.block_tokens
        suffix = self.around(item.suffix_tokens)
        output = self.around(item.output_tokens)
        popularity = self.popularity[name]
        prefix = self.rng.choices(range(item.prefixes), popularity)[0]
        seed = self.prefix_seed(name, prefix)
        prefix_blocks = item.prefix_tokens // block
        hashes = [seed + index for index in range(prefix_blocks)]
        own = self.rng.getrandbits(48) << 12
        hashes += [own + index for index in range(suffix // block)]
        return MeasuredRequest(
            number=0,
            organisation=self.organisation(),
            request_class=name,
            arrived_s=now_s,
            prompt_tokens=item.prefix_tokens + suffix,
            prefix_hashes=tuple(hashes),
            output_tokens=output,
            max_tokens=2 * item.output_tokens,
            work_s=self.prefill_s(suffix) + self.decode_s(output),
            prefill_s=self.prefill_s(suffix),
        )

    def prefix_seed(self, name: str, prefix: int) -> int:
        """Return the hash of the first block of a prefix.

        :param name: class name.
        :param prefix: number of the prefix.
        """
        number = list(self.workload.classes).index(name)
        return (1 << 62) + (number << 40) + (prefix << 16)

    def around(self, mean: int) -> int:
        """Return a length around a mean.

        :param mean: the mean.
        """
        return max(1, round(mean * self.rng.uniform(1.0 - SPREAD, 1.0 + SPREAD)))

    def organisation(self) -> str:
        """Return the organisation of a request."""
        items = self.workload.organisations
        parts = [item.part for item in items.values()]
        return self.rng.choices(list(items), parts)[0]
