"""Model of an engine with continuous batching.

The model is synchronous and reads no clock: its callers pass the current time. The
HTTP stand-in drives it with the real time, the measurement tool with simulated time.
The model computes in runs of steps of equal duration. Each step computes at most one
prefill chunk and one token of every decoding stream.
"""

import random

import attrs

from jasminewalk.exceptions import (
    BadRequestError,
    OrderRefusedError,
    StaleFencingNumberError,
)
from jasminewalk.generated_codes import Code, Ran
from jasminewalk.generated_requests import (
    EngineOrder,
    EngineState,
    Frame,
    GenerateRequest,
)
from jasminewalk.generated_standins import EngineModelSettings
from jasminewalk.interfaces import CachePage
from jasminewalk.standins._engine_batch import Batch, SentFrame
from jasminewalk.standins._engine_cache import PrefixCache
from jasminewalk.standins._engine_kv import encode_kv_handle
from jasminewalk.standins._engine_load import LoadHistory
from jasminewalk.standins._engine_speeds import EngineSpeeds
from jasminewalk.standins._engine_steps import Stream
from jasminewalk.standins._engine_text import (
    compute_output_length,
    compute_prompt_digest,
    compute_token_text,
)

__all__ = [
    "EngineModel",
    "EngineModelSettings",
    "SentFrame",
    "compute_output_length",
    "compute_token_text",
]


@attrs.define
class _StateChange:
    """A change of role, models or version that is in progress.

    :param order: the order that started it.
    :param end_s: time at which it is complete, in seconds.
    :param unavailable: whether the engine serves no requests until then.
    """

    order: EngineOrder
    end_s: float
    unavailable: bool


class EngineModel:
    """Simulates one engine.

    :param settings: speeds, limits and behaviour.
    :param rng: random source for lost cache events.
    :param emit_tokens: whether to send a frame for each token; otherwise only the
        first and the last token of each stream are sent.
    """

    def __init__(
        self,
        settings: EngineModelSettings,
        rng: random.Random,
        *,
        emit_tokens: bool = True,
    ) -> None:
        self.settings = settings
        self.cache = PrefixCache(settings, rng)
        self.speeds = EngineSpeeds(settings)
        self.batch = Batch(settings, self.speeds, self.cache, emit_tokens=emit_tokens)
        self.models = list(settings.models)
        self.version = settings.version
        self.load_history = LoadHistory(settings, self.batch)
        self.change: _StateChange | None = None
        self.paused_at_s: float | None = None
        self.down = False
        self.arrivals = 0
        self.broken_streams = 0
        self.stale_orders = 0
        self.orders: list[EngineOrder] = []
        self.fencing_number = 0

    # Requests

    def submit(
        self, now_s: float, request: GenerateRequest, output_tokens: int | None = None
    ) -> None:
        """Accept a request, or refuse it with a frame that has ``ran="not_run"``.

        :param now_s: current time in seconds.
        :param request: the generation request.
        :param output_tokens: total output tokens; derived from the prompt if it is
            absent.
        """
        self.simulate_until(now_s)
        total_tokens = output_tokens or compute_output_length(
            request.prompt, request.max_tokens
        )
        total_tokens = max(1, min(total_tokens, request.max_tokens))
        needed_tokens = request.prompt_tokens + request.max_tokens
        blocks = -(-needed_tokens // self.settings.block_tokens)
        code = self.get_refusal_code(request, blocks)
        if code is not None:
            self.send_failure(now_s, request, code, "not_run")
            return
        if request.resume_from >= total_tokens:
            end = self.batch.get_finish_reason(request, total_tokens)
            self.batch.queue_frame(now_s, request, Frame(n=-1, end=end))
            return
        self.arrivals += 1
        stream = Stream(
            request=request,
            digest=compute_prompt_digest(request.prompt),
            rank=(-request.priority, self.arrivals),
            total_tokens=total_tokens,
            blocks=blocks,
        )
        self.batch.add(self.get_batch_time_s(now_s), stream)

    def get_refusal_code(self, request: GenerateRequest, blocks: int) -> Code | None:
        """Return the result code with which a request is refused, if any.

        :param request: the generation request.
        :param blocks: KV cache blocks that the request needs.
        """
        if not self.accepts_requests:
            return Code.NO_ENDPOINT
        requested_models = {request.model, request.adapter} - {""}
        if self.models and not requested_models <= set(self.models):
            return Code.UNKNOWN_MODEL
        if blocks > self.settings.cache_blocks or request.max_tokens < 1:
            return Code.BAD_FIELD
        if (request.request_id, request.attempt) in self.batch.streams:
            return Code.BAD_FIELD
        return None

    def cancel(self, now_s: float, request_id: str, attempt: int) -> bool:
        """Stop a stream without sending another frame.

        Return whether the stream existed.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request.
        :param attempt: number of the attempt.
        """
        self.simulate_until(now_s)
        stream = self.batch.streams.get((request_id, attempt))
        if stream is None:
            return False
        now_s = self.get_batch_time_s(now_s)
        self.batch.remove(now_s, stream)
        self.batch.replan(now_s)
        return True

    def send_failure(
        self, now_s: float, request: GenerateRequest, code: Code, ran: Ran
    ) -> None:
        """Send a frame that reports why the response is incomplete.

        :param now_s: current time in seconds.
        :param request: the generation request.
        :param code: result code.
        :param ran: whether the request ran.
        """
        self.batch.queue_frame(now_s, request, Frame(code=int(code), ran=ran))

    # Time

    @property
    def accepts_requests(self) -> bool:
        """Whether the engine accepts requests."""
        return not self.down and not (self.change and self.change.unavailable)

    @property
    def next_event_s(self) -> float:
        """Time of the next frame or completed change in seconds; may be infinite."""
        if self.batch.pending_frames:
            return self.batch.pending_frames[0].at_s
        if self.paused_at_s is not None:
            return float("inf")
        change_s = self.change.end_s if self.change else float("inf")
        return min(change_s, self.batch.next_event_s)

    def advance(self, now_s: float) -> list[SentFrame]:
        """Simulate up to the current time.

        Return the frames sent since the last call, in order.

        :param now_s: current time in seconds.
        """
        self.simulate_until(now_s)
        frames, self.batch.pending_frames = self.batch.pending_frames, []
        return frames

    def get_batch_time_s(self, now_s: float) -> float:
        """Return the time that the batch has reached, in seconds.

        :param now_s: current time in seconds.
        """
        return now_s if self.paused_at_s is None else self.paused_at_s

    def simulate_until(self, now_s: float) -> None:
        """Simulate up to the current time, unless the engine is paused.

        :param now_s: current time in seconds.
        """
        if self.paused_at_s is not None:
            return
        if self.change and self.change.end_s <= now_s:
            self.finish_change()
        self.batch.simulate_until(now_s)

    def pause(self, now_s: float) -> None:
        """Stop all progress; requests are still accepted.

        :param now_s: current time in seconds.
        """
        self.simulate_until(now_s)
        if self.paused_at_s is None:
            self.paused_at_s = now_s

    def unpause(self, now_s: float) -> None:
        """Continue after a pause.

        :param now_s: current time in seconds.
        """
        if self.paused_at_s is None:
            return
        pause_duration_s = now_s - self.paused_at_s
        self.paused_at_s = None
        if self.change:
            self.change.end_s += pause_duration_s
        if self.batch.current_run:
            self.batch.current_run.start_s += pause_duration_s

    def crash(self, now_s: float) -> list[SentFrame]:
        """Crash, and return the frames sent so far and an error frame for each stream.

        :param now_s: current time in seconds.
        """
        self.unpause(now_s)
        self.simulate_until(now_s)
        self.break_streams(now_s)
        self.down = True
        self.change = None
        self.load_history.samples.clear()
        frames, self.batch.pending_frames = self.batch.pending_frames, []
        return frames

    def restart(self, now_s: float) -> None:
        """Restart with an empty cache and the role, models and version of the settings.

        :param now_s: current time in seconds.
        """
        self.break_streams(now_s)
        self.cache.clear()
        self.batch.kv_imports.clear()
        self.change = None
        self.speeds.role = self.settings.role
        self.models = list(self.settings.models)
        self.version = self.settings.version
        if not self.settings.keeps_fencing:
            self.fencing_number = 0
        self.down = False

    def break_streams(self, now_s: float) -> None:
        """End every stream with an error frame.

        :param now_s: current time in seconds.
        """
        for request in self.batch.clear():
            self.broken_streams += 1
            self.send_failure(now_s, request, Code.ENDPOINT_FAILED, "unknown")
        self.cache.reserved_blocks = 0

    # Orders

    def order(self, now_s: float, order: EngineOrder) -> None:
        """Start to carry out an order; a change of role or version breaks all streams.

        :param now_s: current time in seconds.
        :param order: the wanted state.
        :raises StaleFencingNumberError: if the engine has accepted a higher fencing
            number.
        :raises OrderRefusedError: if the engine is down or carries out another order.
        """
        self.simulate_until(now_s)
        if self.down:
            raise OrderRefusedError("The engine is down.")
        if order.fencing_number < self.fencing_number:
            self.stale_orders += 1
            if self.settings.checks_fencing:
                raise StaleFencingNumberError(
                    f"Fencing number {order.fencing_number} is lower than"
                    f" {self.fencing_number}."
                )
        if self.change and self.change.order != order:
            raise OrderRefusedError("Another order is being carried out.")
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        self.orders.append(order)
        if self.change is None:
            self.begin_change(now_s, order)

    def begin_change(self, now_s: float, order: EngineOrder) -> None:
        """Start the change that an order requires, and compute how long it takes.

        :param now_s: current time in seconds.
        :param order: the wanted state.
        """
        changes_role = order.role != self.speeds.role
        changes_version = order.version not in ("", self.version)
        models_to_load = len(set(order.models) - set(self.models))
        duration_s = models_to_load * self.settings.model_load_s
        duration_s += self.settings.role_change_s if changes_role else 0.0
        duration_s += self.settings.version_change_s if changes_version else 0.0
        unavailable = changes_role or changes_version
        if unavailable:
            self.break_streams(now_s)
        self.change = _StateChange(order, now_s + duration_s, unavailable)
        if duration_s == 0.0:
            self.finish_change()

    def finish_change(self) -> None:
        """Apply the state that the order in progress asks for."""
        if self.change is None:
            return
        order = self.change.order
        self.change = None
        if order.role != self.speeds.role or order.version not in ("", self.version):
            self.cache.clear()
        self.speeds.role = order.role
        self.models = list(order.models)
        self.version = order.version or self.version

    # Reports

    def state(self, now_s: float) -> EngineState:
        """Return the engine's report, whose load figures are delayed by the report lag.

        :param now_s: current time in seconds.
        """
        self.simulate_until(now_s)
        sample = self.load_history.get_sample(now_s)
        return attrs.evolve(
            sample.state,
            fencing_number=self.fencing_number,
            role=self.speeds.role,
            models=list(self.models),
            version=self.version,
            changing=self.change is not None,
            age_s=now_s - sample.at_s,
        )

    def compute_load(self) -> EngineState:
        """Compute the current load, without the report lag."""
        return self.load_history.compute_load()

    def cache_events(self, now_s: float, sequence: int) -> CachePage:
        """Return published cache events, starting at a sequence number.

        :param now_s: current time in seconds.
        :param sequence: sequence number of the first event to return.
        """
        self.simulate_until(now_s)
        return self.cache.get_page(now_s, sequence)

    # KV cache

    def export_kv(self, now_s: float, request_id: str, attempt: int) -> bytes:
        """Return a handle of the KV cache of a decoding stream.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request.
        :param attempt: number of the attempt.
        :raises BadRequestError: if the stream is not decoding.
        """
        self.simulate_until(now_s)
        stream = self.batch.decoding.get((request_id, attempt))
        if stream is None:
            raise BadRequestError(
                f"Request {request_id}, attempt {attempt}, is not decoding.",
                code=Code.UNKNOWN_PATH,
            )
        output_tokens = self.batch.step_log.steps - stream.first_token_step + 1
        return encode_kv_handle(stream, output_tokens)

    def import_kv(self, now_s: float, handle: bytes) -> None:
        """Keep an exported KV cache for the next attempt of its request on this engine.

        :param now_s: current time in seconds.
        :param handle: handle that ``export_kv`` returned.
        :raises BadRequestError: if the handle is malformed.
        """
        self.batch.kv_imports.put(handle)
