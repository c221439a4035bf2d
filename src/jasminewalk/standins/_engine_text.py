"""Deterministic output of simulated engines: its text and its length."""

import xxhash

__all__ = [
    "compute_output_length",
    "compute_prompt_digest",
    "compute_token_text",
    "compute_token_text_from_digest",
]

LENGTH_SEED = 7
LENGTH_DRAW_RANGE = 1024
FULL_LENGTH_DRAWS = 256


def compute_prompt_digest(prompt: str) -> int:
    """Compute the digest that determines the output tokens of a prompt.

    :param prompt: rendered prompt.
    """
    return xxhash.xxh3_64_intdigest(prompt.encode())


def compute_token_text_from_digest(digest: int, index: int) -> str:
    """Compute the text of one output token from the digest of the prompt.

    :param digest: digest that ``compute_prompt_digest`` returned.
    :param index: index of the output token, from 0.
    """
    return f" {xxhash.xxh32_intdigest(digest.to_bytes(8, 'big'), index):08x}"


def compute_token_text(prompt: str, index: int) -> str:
    """Compute the text of one output token, which is the same on every engine.

    >>> compute_token_text("How long?", 0) == compute_token_text("How long?", 0)
    True
    >>> compute_token_text("How long?", 0) == compute_token_text("How hot?", 0)
    False

    :param prompt: rendered prompt.
    :param index: index of the output token, from 0.
    """
    return compute_token_text_from_digest(compute_prompt_digest(prompt), index)


def compute_output_length(prompt: str, max_tokens: int) -> int:
    """Compute how many output tokens a prompt produces.

    One prompt in four produces ``max_tokens``; the others produce at least half of
    them.

    :param prompt: rendered prompt.
    :param max_tokens: maximum number of output tokens.
    """
    draw = xxhash.xxh32_intdigest(prompt.encode(), LENGTH_SEED) % LENGTH_DRAW_RANGE
    if draw < FULL_LENGTH_DRAWS:
        return max_tokens
    return max(1, max_tokens * (draw + LENGTH_DRAW_RANGE) // (2 * LENGTH_DRAW_RANGE))
