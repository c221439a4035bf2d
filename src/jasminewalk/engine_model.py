"""Model of an engine with continuous batching, driven on a virtual clock.

Plain synchronous code: the HTTP stand-in drives it on a real clock and the
measurement tool on a virtual one.
"""

import random

import attrs

from jasminewalk.generated_requests import (
    EngineOrder,
    EngineState,
    Frame,
    GenerateRequest,
)
from jasminewalk.generated_standins import EngineModelSettings
from jasminewalk.interfaces import CachePage

__all__ = [
    "EngineModel",
    "EngineModelSettings",
    "FrameOut",
    "output_length",
    "token_text",
]


def token_text(prompt: str, index: int) -> str:
    """Return the text of one output token, the same for every engine.

    :param prompt: rendered prompt.
    :param index: number of the output token from 0.
    """
    raise NotImplementedError


def output_length(prompt: str, max_tokens: int) -> int:
    """Return how many tokens the answer to a prompt has, at most ``max_tokens``.

    :param prompt: rendered prompt.
    :param max_tokens: most output tokens.
    """
    raise NotImplementedError


@attrs.frozen(kw_only=True)
class FrameOut:
    """A frame that the engine sent.

    :param request_id: identifier of the request.
    :param attempt: number of the attempt.
    :param frame: the frame; ``code`` is set if the stream was refused or broke.
    :param at_s: instant in seconds.
    :param largest_gap_s: largest seconds between two tokens, on the last frame.
    :param p95_gap_s: 95th percentile of them, on the last frame.
    """

    request_id: str
    attempt: int
    frame: Frame
    at_s: float
    largest_gap_s: float = 0.0
    p95_gap_s: float = 0.0


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
        raise NotImplementedError

    def submit(
        self, now_s: float, request: GenerateRequest, output_tokens: int | None = None
    ) -> None:
        """Take a request; a refusal comes as a frame with ``ran="not_run"``.

        :param now_s: current instant in seconds.
        :param request: what to generate.
        :param output_tokens: whole length of the answer, if the workload fixes it.
        """
        raise NotImplementedError

    def cancel(self, now_s: float, request_id: str, attempt: int) -> bool:
        """Stop a stream without a further frame; return whether it was there.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        :param attempt: number of the attempt.
        """
        raise NotImplementedError

    def advance(self, now_s: float) -> list[FrameOut]:
        """Work up to an instant and return the frames sent until then, in order.

        :param now_s: current instant in seconds.
        """
        raise NotImplementedError

    @property
    def next_event_s(self) -> float:
        """Instant at which ``advance`` will have something new; may be infinite."""
        raise NotImplementedError

    def state(self, now_s: float) -> EngineState:
        """Return the engine's report; its load figures are old by the report lag.

        :param now_s: current instant in seconds.
        """
        raise NotImplementedError

    def order(self, now_s: float, order: EngineOrder) -> None:
        """Start to carry out an order; running streams break on a role change.

        :param now_s: current instant in seconds.
        :param order: the wanted state.
        :raises StaleFencingNumberError: if a newer fencing number was seen.
        :raises OrderRefusedError: if another order is being carried out.
        """
        raise NotImplementedError

    def cache_events(self, now_s: float, sequence: int) -> CachePage:
        """Return cache events from a sequence number on.

        :param now_s: current instant in seconds.
        :param sequence: first number wanted.
        """
        raise NotImplementedError

    def export_kv(self, now_s: float, request_id: str, attempt: int) -> bytes:
        """Return the KV cache of a running stream as one handle.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        :param attempt: number of the attempt.
        :raises BadRequestError: if there is no such stream.
        """
        raise NotImplementedError

    def import_kv(self, now_s: float, handle: bytes) -> None:
        """Keep an exported KV cache for the request's next attempt here.

        :param now_s: current instant in seconds.
        :param handle: what ``export_kv`` returned.
        :raises BadRequestError: if the handle is malformed.
        """
        raise NotImplementedError

    def crash(self, now_s: float) -> list[FrameOut]:
        """Go down; return a frame with a code for each stream that broke.

        :param now_s: current instant in seconds.
        """
        raise NotImplementedError

    def restart(self, now_s: float) -> None:
        """Come up again with an empty cache and the first role and models.

        :param now_s: current instant in seconds.
        """
        raise NotImplementedError

    def pause(self, now_s: float) -> None:
        """Freeze; requests are taken but nothing moves.

        :param now_s: current instant in seconds.
        """
        raise NotImplementedError

    def unpause(self, now_s: float) -> None:
        """Go on after a freeze.

        :param now_s: current instant in seconds.
        """
        raise NotImplementedError
