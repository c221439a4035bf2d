"""Token counts and prefix block hashes of prompts."""

from abc import ABC, abstractmethod

import xxhash

__all__ = ["CharacterTokenizer", "Tokenizer"]

BLOCK_TOKENS = 64
CHARACTERS_PER_TOKEN = 4


class Tokenizer(ABC):
    """Estimates how an engine splits a prompt into tokens."""

    @abstractmethod
    def count_tokens(self, text: str) -> int:
        """Return the length of a text in tokens.

        :param text: the text.
        """

    @abstractmethod
    def hash_prefixes(self, text: str) -> tuple[int, ...]:
        """Return a hash for each complete block of a text, starting with the first.

        Each hash covers all blocks up to its own, so equal hashes mean equal
        prefixes.

        :param text: the text.
        """


class CharacterTokenizer(Tokenizer):
    """Tokenizer that counts a fixed number of characters as one token.

    >>> tokenizer = CharacterTokenizer()
    >>> tokenizer.count_tokens("abcde")
    2
    >>> len(tokenizer.hash_prefixes("x" * 600))
    2

    :param characters_per_token: number of characters per token.
    :param block_tokens: number of tokens per prefix block.
    """

    def __init__(
        self,
        characters_per_token: int = CHARACTERS_PER_TOKEN,
        block_tokens: int = BLOCK_TOKENS,
    ) -> None:
        self.characters_per_token = characters_per_token
        self.block_characters = characters_per_token * block_tokens

    def count_tokens(self, text: str) -> int:
        """Return the length of a text in tokens.

        :param text: the text.
        """
        return -(-len(text) // self.characters_per_token)

    def hash_prefixes(self, text: str) -> tuple[int, ...]:
        """Return a hash for each complete block of a text, starting with the first.

        :param text: the text.
        """
        size = self.block_characters
        digest = xxhash.xxh3_64_intdigest
        hashes: list[int] = []
        previous = 0
        for start in range(0, len(text) - size + 1, size):
            block = text[start : start + size].encode("utf-8", "surrogatepass")
            previous = digest(block, previous)
            hashes.append(previous)
        return tuple(hashes)
