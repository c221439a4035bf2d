from hypothesis import given, settings, strategies as st

from jasminewalk.scheduling.tokens import CharacterTokenizer

BLOCK = 256
texts = st.text(max_size=40).map(lambda text: text * 40)


@given(texts, texts)
@settings(derandomize=True, deadline=None)
def test_equal_hashes_mean_equal_prefixes(left, right):
    tokenizer = CharacterTokenizer()
    pairs = zip(
        tokenizer.prefix_hashes(left), tokenizer.prefix_hashes(right), strict=False
    )
    for number, (a, b) in enumerate(pairs, start=1):
        assert (a == b) == (left[: number * BLOCK] == right[: number * BLOCK])


def test_whole_blocks_only():
    tokenizer = CharacterTokenizer()
    assert tokenizer.prefix_hashes("x" * (BLOCK - 1)) == ()
    assert len(tokenizer.prefix_hashes("x" * (3 * BLOCK + 5))) == 3
    assert tokenizer.count("x" * 9) == 3
