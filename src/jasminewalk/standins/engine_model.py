"""Model of an engine with continuous batching, driven on a virtual clock.

Plain synchronous code: the HTTP stand-in drives it on a real clock and the
measurement tool on a virtual one. Time passes in runs of equal steps; each step
computes at most one prefill chunk and one token of every decoding stream.
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
    """An order that is being carried out.

    :param order: the order.
    :param end_s: instant at which it is done.
    :param unavailable: whether the engine serves nothing meanwhile.
    """

    order: EngineOrder
    end_s: float
    unavailable: bool


class EngineModel:
    """One modelled engine.

    :param settings: speeds, limits and habits.
    :param rng: random source for lost cache events.
    :param emit_tokens: whether to send a frame for each token, or only the first
        and the last one of each stream.
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
        """Take a request; a refusal comes as a frame with ``ran="not_run"``.

        :param now_s: current instant in seconds.
        :param request: what to generate.
        :param output_tokens: whole length of the answer, if the workload fixes it.
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
        """Return why a request is not taken, or nothing.

        :param request: what to generate.
        :param blocks: KV cache blocks it needs.
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
        """Stop a stream without a further frame; return whether it was there.

        :param now_s: current instant in seconds.
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
        """Send a frame that says why there is no whole answer.

        :param now_s: current instant in seconds.
        :param request: what was asked.
        :param code: result code.
        :param ran: whether the request ran.
        """
        self.batch.queue_frame(now_s, request, Frame(code=int(code), ran=ran))

    # Time

    @property
    def accepts_requests(self) -> bool:
        """Whether requests are taken."""
        return not self.down and not (self.change and self.change.unavailable)

    @property
    def next_event_s(self) -> float:
        """Instant at which ``advance`` will have something new; may be infinite."""
        if self.batch.pending_frames:
            return self.batch.pending_frames[0].at_s
        if self.paused_at_s is not None:
            return float("inf")
        change_s = self.change.end_s if self.change else float("inf")
        return min(change_s, self.batch.next_event_s)

    def advance(self, now_s: float) -> list[SentFrame]:
        """Work up to an instant and return the frames sent until then, in order.

        :param now_s: current instant in seconds.
        """
        self.simulate_until(now_s)
        frames, self.batch.pending_frames = self.batch.pending_frames, []
        return frames

    def get_batch_time_s(self, now_s: float) -> float:
        """Return the instant that the batch has reached.

        :param now_s: current instant in seconds.
        """
        return now_s if self.paused_at_s is None else self.paused_at_s

    def simulate_until(self, now_s: float) -> None:
        """Work up to an instant.

        :param now_s: current instant in seconds.
        """
        if self.paused_at_s is not None:
            return
        if self.change and self.change.end_s <= now_s:
            self.finish_change()
        self.batch.simulate_until(now_s)

    def pause(self, now_s: float) -> None:
        """Freeze; requests are taken but nothing moves.

        :param now_s: current instant in seconds.
        """
        self.simulate_until(now_s)
        if self.paused_at_s is None:
            self.paused_at_s = now_s

    def unpause(self, now_s: float) -> None:
        """Go on after a freeze.

        :param now_s: current instant in seconds.
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
        """Go down; return a frame with a code for each stream that broke.

        :param now_s: current instant in seconds.
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
        """Come up again with an empty cache and the first role and models.

        :param now_s: current instant in seconds.
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
        """Break every stream.

        :param now_s: current instant in seconds.
        """
        for request in self.batch.clear():
            self.broken_streams += 1
            self.send_failure(now_s, request, Code.ENDPOINT_FAILED, "unknown")
        self.cache.reserved_blocks = 0

    # Orders

    def order(self, now_s: float, order: EngineOrder) -> None:
        """Start to carry out an order; running streams break on a role change.

        :param now_s: current instant in seconds.
        :param order: the wanted state.
        :raises StaleFencingNumberError: if a newer fencing number was seen.
        :raises OrderRefusedError: if another order is being carried out.
        """
        self.simulate_until(now_s)
        if self.down:
            raise OrderRefusedError("The engine is down.")
        if order.fencing_number < self.fencing_number:
            self.stale_orders += 1
            if self.settings.checks_fencing:
                raise StaleFencingNumberError(
                    f"Number {order.fencing_number} is older than"
                    f" {self.fencing_number}."
                )
        if self.change and self.change.order != order:
            raise OrderRefusedError("Another order is being carried out.")
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        self.orders.append(order)
        if self.change is None:
            self.begin_change(now_s, order)

    def begin_change(self, now_s: float, order: EngineOrder) -> None:
        """Work out what an order changes and how long that takes.

        :param now_s: current instant in seconds.
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
        """Take the state that the order in progress wants."""
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
        """Return the engine's report; its load figures are old by the report lag.

        :param now_s: current instant in seconds.
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
        """Return the load now, without a lag."""
        return self.load_history.compute_load()

    def cache_events(self, now_s: float, sequence: int) -> CachePage:
        """Return cache events from a sequence number on.

        :param now_s: current instant in seconds.
        :param sequence: first number wanted.
        """
        self.simulate_until(now_s)
        return self.cache.get_page(now_s, sequence)

    # KV cache

    def export_kv(self, now_s: float, request_id: str, attempt: int) -> bytes:
        """Return the KV cache of a running stream as one handle.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        :param attempt: number of the attempt.
        :raises BadRequestError: if no such stream decodes.
        """
        self.simulate_until(now_s)
        stream = self.batch.decoding.get((request_id, attempt))
        if stream is None:
            raise BadRequestError(
                f"No stream {request_id} {attempt} decodes.", code=Code.UNKNOWN_PATH
            )
        output_tokens = self.batch.step_log.steps - stream.first_token_step + 1
        return encode_kv_handle(stream, output_tokens)

    def import_kv(self, now_s: float, handle: bytes) -> None:
        """Keep an exported KV cache for the request's next attempt here.

        :param now_s: current instant in seconds.
        :param handle: what ``export_kv`` returned.
        :raises BadRequestError: if the handle is malformed.
        """
        self.batch.kv_imports.put(handle)
