"""Step durations of a simulated engine in each role."""

from typing import Literal

from jasminewalk.generated_standins import EngineModelSettings

__all__ = ["EngineSpeeds", "Role"]

Role = Literal["mixed", "prefill", "decode"]


class EngineSpeeds:
    """Computes step durations in the current role.

    :param settings: speeds in the mixed role, and factors for the other roles.
    """

    def __init__(self, settings: EngineModelSettings) -> None:
        self.settings = settings
        self.role: Role = settings.role

    @property
    def max_chunk_tokens(self) -> int:
        """Maximum number of prompt tokens in one step."""
        factor = {
            "mixed": 1.0,
            "prefill": self.settings.prefill_role_chunk_factor,
            "decode": self.settings.decode_role_chunk_factor,
        }[self.role]
        return max(1, int(self.settings.prefill_chunk_tokens * factor))

    def get_speed_factor(self, work: Role) -> float:
        """Return the factor that the current role applies to the speed of some work.

        :param work: role that specialises in the work.
        """
        if self.role == "mixed":
            return 1.0
        if self.role == work:
            return self.settings.specialised_gain
        return self.settings.specialised_loss

    def compute_prefill_s(self, tokens: int) -> float:
        """Compute the seconds that a prefill chunk adds to a step.

        :param tokens: prompt tokens in the chunk.
        """
        if tokens == 0:
            return 0.0
        speed = self.settings.prefill_tokens_per_s * self.get_speed_factor("prefill")
        return self.settings.chunk_overhead_s + tokens / speed

    def compute_decode_s(self, stream_count: int) -> float:
        """Compute the seconds that decoding one token of each stream adds to a step.

        :param stream_count: number of decoding streams.
        """
        if stream_count == 0:
            return 0.0
        growth = self.settings.decode_step_per_stream_s * (stream_count - 1)
        return (self.settings.decode_step_s + growth) / self.get_speed_factor("decode")

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prompt tokens per second while no stream decodes."""
        return self.max_chunk_tokens / self.compute_prefill_s(self.max_chunk_tokens)
