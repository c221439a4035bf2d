"""Transfer of KV caches between simulated engines."""

from collections import OrderedDict

import attrs
import msgspec

from jasminewalk.decoding import DECODE_ERRORS
from jasminewalk.exceptions import BadRequestError
from jasminewalk.standins._engine_steps import Stream

__all__ = ["KvImports", "encode_kv_handle"]

MAX_IMPORTS = 1024


@attrs.frozen(kw_only=True)
class _KvHandle:
    """Handle of the exported KV cache of a stream.

    :param request_id: identifier of the request.
    :param digest: digest of the prompt.
    :param tokens: prompt and output tokens in the KV cache.
    """

    request_id: str
    digest: int
    tokens: int


def encode_kv_handle(stream: Stream, output_tokens: int) -> bytes:
    """Encode a handle of the KV cache of a stream.

    :param stream: the stream.
    :param output_tokens: tokens that the stream has produced on this engine.
    """
    request = stream.request
    tokens = request.prompt_tokens + request.resume_from + output_tokens
    handle = _KvHandle(
        request_id=request.request_id, digest=stream.digest, tokens=tokens
    )
    return msgspec.msgpack.encode(handle)


class KvImports:
    """Holds the most recently imported KV caches until their requests arrive."""

    def __init__(self) -> None:
        self.tokens_by_stream: OrderedDict[tuple[str, int], int] = OrderedDict()

    def put(self, data: bytes) -> None:
        """Store an imported KV cache.

        :param data: handle of the exported KV cache.
        :raises BadRequestError: if the handle is malformed.
        """
        try:
            handle = msgspec.msgpack.decode(data, type=_KvHandle)
        except DECODE_ERRORS as error:
            raise BadRequestError(str(error)) from error
        self.tokens_by_stream[(handle.request_id, handle.digest)] = handle.tokens
        if len(self.tokens_by_stream) > MAX_IMPORTS:
            self.tokens_by_stream.popitem(last=False)

    def take(self, stream: Stream) -> int:
        """Remove the KV cache imported for a stream, and return its number of tokens.

        :param stream: the stream.
        """
        return self.tokens_by_stream.pop((stream.request.request_id, stream.digest), 0)

    def clear(self) -> None:
        """Remove all imported KV caches."""
        self.tokens_by_stream.clear()
