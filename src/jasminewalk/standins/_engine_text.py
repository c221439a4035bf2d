"""Deterministic answers of modelled engines."""

import xxhash

__all__ = [
    "compute_output_length",
    "compute_prompt_digest",
    "compute_token_text_from_digest",
    "compute_token_text",
]

STOP_SEED = 7
STOP_DRAWS = 1024
WHOLE_DRAWS = 256


def compute_prompt_digest(prompt: str) -> int:
    """Return a digest from which the tokens of an answer follow.

    :param prompt: rendered prompt.
    """
    return xxhash.xxh3_64_intdigest(prompt.encode())


def compute_token_text_from_digest(digest: int, index: int) -> str:
    """Return the text of one output token.

    :param digest: what ``compute_prompt_digest`` returned.
    :param index: number of the output token from 0.
    """
    return f" {xxhash.xxh32_intdigest(digest.to_bytes(8, 'big'), index):08x}"


def compute_token_text(prompt: str, index: int) -> str:
    """Return the text of one output token, the same for every engine.

    >>> compute_token_text("How long?", 0) == compute_token_text("How long?", 0)
    True
    >>> compute_token_text("How long?", 0) == compute_token_text("How hot?", 0)
    False

    :param prompt: rendered prompt.
    :param index: number of the output token from 0.
    """
    return compute_token_text_from_digest(compute_prompt_digest(prompt), index)


def compute_output_length(prompt: str, max_tokens: int) -> int:
    """Return how many tokens the answer to a prompt has, at most ``max_tokens``.

    One prompt in four uses all of them; the others stop at half or later.

    :param prompt: rendered prompt.
    :param max_tokens: most output tokens.
    """
    draw = xxhash.xxh32_intdigest(prompt.encode(), STOP_SEED) % STOP_DRAWS
    if draw < WHOLE_DRAWS:
        return max_tokens
    return max(1, max_tokens * (draw + STOP_DRAWS) // (2 * STOP_DRAWS))
