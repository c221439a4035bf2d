from hypothesis import given, settings, strategies as st

from jasminewalk.scheduling.tokens import CharacterTokenizer

BLOCK_CHARACTERS = 256
texts = st.text(max_size=40).map(lambda text: text * 40)


@given(texts, texts)
@settings(derandomize=True, deadline=None)
def test_equal_hashes_mean_equal_prefixes(left, right):
    tokenizer = CharacterTokenizer()
    pairs = zip(
        tokenizer.hash_prefixes(left), tokenizer.hash_prefixes(right), strict=False
    )
    for number, (left_hash, right_hash) in enumerate(pairs, start=1):
        assert (left_hash == right_hash) == (
            left[: number * BLOCK_CHARACTERS] == right[: number * BLOCK_CHARACTERS]
        )


def test_only_complete_blocks_are_hashed():
    tokenizer = CharacterTokenizer()
    assert tokenizer.hash_prefixes("x" * (BLOCK_CHARACTERS - 1)) == ()
    assert len(tokenizer.hash_prefixes("x" * (3 * BLOCK_CHARACTERS + 5))) == 3
    assert tokenizer.count_tokens("x" * 9) == 3
