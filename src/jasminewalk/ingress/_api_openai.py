"""Bodies of the published OpenAI format, as far as the entry speaks it."""

from typing import Annotated, Any, Literal

import attrs
import msgspec

from jasminewalk.exceptions import BadRequestError
from jasminewalk.generated_codes import Code

__all__ = [
    "ChatFormat",
    "ChatRequest",
    "CompletionFormat",
    "CompletionRequest",
    "OpenAiFormat",
    "OpenAiRequest",
    "decode_request",
]

MAX_OUTPUT_TOKENS = 1 << 20
UNSUPPORTED_FIELDS = (
    "stop",
    "tools",
    "functions",
    "logprobs",
    "echo",
    "suffix",
    "audio",
)
DONE_EVENT = b"data: [DONE]\n\n"

OutputTokens = Annotated[int, msgspec.Meta(ge=1, le=MAX_OUTPUT_TOKENS)]

_encode = msgspec.json.Encoder().encode


@attrs.frozen(kw_only=True)
class ContentPart:
    """One part of a message's content.

    :param type: kind of part; only text is supported.
    :param text: the text.
    """

    type: Literal["text"]
    text: str = ""


@attrs.frozen(kw_only=True)
class ChatMessage:
    """One message of a chat.

    :param role: who speaks.
    :param content: text, or parts of it.
    """

    role: str
    content: str | list[ContentPart] | None = None

    @property
    def text(self) -> str:
        """Whole text of the message."""
        if isinstance(self.content, list):
            return "".join(part.text for part in self.content)
        return self.content or ""


@attrs.frozen(kw_only=True)
class StreamOptions:
    """Options of a streamed answer.

    :param include_usage: whether to send token counts at the end.
    """

    include_usage: bool = False


@attrs.frozen(kw_only=True)
class OpenAiRequest:
    """What both kinds of request share.

    :param model: model name.
    :param stream: whether to stream the answer.
    :param stream_options: options of the stream.
    :param max_tokens: most output tokens.
    :param n: number of answers; only one is supported.
    """

    model: str
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    max_tokens: OutputTokens | None = None
    n: Literal[1] | None = 1

    @property
    def prompt_text(self) -> str:
        """Rendered prompt."""
        raise NotImplementedError

    @property
    def output_limit(self) -> int | None:
        """Most output tokens, if the request says so."""
        return self.max_tokens

    @property
    def include_usage(self) -> bool:
        """Whether a streamed answer ends with token counts."""
        return bool(self.stream_options and self.stream_options.include_usage)


@attrs.frozen(kw_only=True)
class ChatRequest(OpenAiRequest):
    """Request for a chat completion.

    :param messages: the chat so far.
    :param max_completion_tokens: newer name of ``max_tokens``.
    """

    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_completion_tokens: OutputTokens | None = None

    @property
    def prompt_text(self) -> str:
        """Rendered prompt."""
        lines = [f"{message.role}: {message.text}\n" for message in self.messages]
        return "".join(lines) + "assistant:"

    @property
    def output_limit(self) -> int | None:
        """Most output tokens, if the request says so."""
        return self.max_completion_tokens or self.max_tokens


@attrs.frozen(kw_only=True)
class CompletionRequest(OpenAiRequest):
    """Request for a text completion.

    :param prompt: the prompt, or a list with one prompt.
    """

    prompt: str | Annotated[list[str], msgspec.Meta(min_length=1, max_length=1)]

    @property
    def prompt_text(self) -> str:
        """Rendered prompt."""
        return self.prompt if isinstance(self.prompt, str) else self.prompt[0]


def decode_request(body_type: type[OpenAiRequest], body: bytes) -> OpenAiRequest:
    """Return the request that a body holds.

    :param body_type: class of the request.
    :param body: JSON text.
    :raises BadRequestError: if it is not JSON or a field is not allowed.
    """
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadRequestError(
            f"The body is not valid JSON: {error}.", code=Code.BAD_JSON
        ) from error
    if not isinstance(document, dict):
        raise BadRequestError("The body must be a JSON object.")
    refuse_unsupported_fields(document)
    try:
        return msgspec.convert(document, body_type)
    except msgspec.ValidationError as error:
        raise BadRequestError(f"{error}.") from error


def refuse_unsupported_fields(document: dict[str, Any]) -> None:
    """Refuse fields whose effect the entry cannot give.

    :param document: decoded body.
    :raises BadRequestError: if such a field is used.
    """
    for name in UNSUPPORTED_FIELDS:
        if document.get(name):
            raise BadRequestError(f"The field {name!r} is not supported.")


class OpenAiFormat:
    """How one answer is written.

    :param request_id: identifier of the request.
    :param model: model name.
    :param created_s: date of the answer as seconds since 1970.
    """

    id_prefix = ""
    response_object = ""
    chunk_object = ""
    role_delta: dict[str, Any] | None = None

    def __init__(self, *, request_id: str, model: str, created_s: int) -> None:
        self.answer_id = f"{self.id_prefix}-{request_id}"
        self.model = model
        self.created_s = created_s
        placeholder = "\x00"
        event = self.encode_chunk([self.build_chunk_choice(placeholder, None)])
        self.text_prefix, self.text_suffix = event.split(_encode(placeholder))

    def build_chunk_choice(
        self, text: str, finish_reason: str | None
    ) -> dict[str, Any]:
        """Return the choice of one chunk.

        :param text: new text.
        :param finish_reason: why the answer ended, on the last chunk.
        """
        raise NotImplementedError

    def build_response_choice(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the choice of an answer that is not streamed.

        :param text: whole text.
        :param finish_reason: why the answer ended.
        """
        raise NotImplementedError

    def encode_chunk(
        self, choices: list[dict[str, Any]], usage: dict[str, Any] | None = None
    ) -> bytes:
        """Return one server-sent event.

        :param choices: choices of the chunk.
        :param usage: token counts, on the last chunk only.
        """
        chunk: dict[str, Any] = {
            "id": self.answer_id,
            "object": self.chunk_object,
            "created": self.created_s,
            "model": self.model,
            "choices": choices,
        }
        if usage is not None:
            chunk["usage"] = usage
        return b"data: " + _encode(chunk) + b"\n\n"

    def encode_texts(self, texts: list[str]) -> bytes:
        """Return an event for each text.

        :param texts: texts of new tokens.
        """
        prefix, suffix = self.text_prefix, self.text_suffix
        if len(texts) == 1:
            return prefix + _encode(texts[0]) + suffix
        return b"".join([prefix + _encode(text) + suffix for text in texts])

    def encode_first_events(self) -> bytes:
        """Return what comes before the first text."""
        return b""

    def encode_last_events(
        self, finish_reason: str, usage: dict[str, Any] | None = None
    ) -> bytes:
        """Return what comes after the last text.

        :param finish_reason: why the answer ended.
        :param usage: token counts, if they were asked for.
        """
        events = self.encode_chunk([self.build_chunk_choice("", finish_reason)])
        if usage is not None:
            events += self.encode_chunk([], usage)
        return events + DONE_EVENT

    def build_response(
        self, text: str, finish_reason: str, usage: dict[str, Any]
    ) -> dict[str, Any]:
        """Return an answer that is not streamed.

        :param text: whole text.
        :param finish_reason: why the answer ended.
        :param usage: token counts.
        """
        return {
            "id": self.answer_id,
            "object": self.response_object,
            "created": self.created_s,
            "model": self.model,
            "choices": [self.build_response_choice(text, finish_reason)],
            "usage": usage,
        }


class ChatFormat(OpenAiFormat):
    """How the answer of a chat completion is written."""

    id_prefix = "chatcmpl"
    response_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def build_chunk_choice(
        self, text: str, finish_reason: str | None
    ) -> dict[str, Any]:
        """Return the choice of one chunk.

        :param text: new text.
        :param finish_reason: why the answer ended, on the last chunk.
        """
        delta = {} if finish_reason else {"content": text}
        return {"index": 0, "delta": delta, "finish_reason": finish_reason}

    def encode_first_events(self) -> bytes:
        """Return what comes before the first text."""
        delta = {"role": "assistant", "content": ""}
        return self.encode_chunk([{"index": 0, "delta": delta, "finish_reason": None}])

    def build_response_choice(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the choice of an answer that is not streamed.

        :param text: whole text.
        :param finish_reason: why the answer ended.
        """
        message = {"role": "assistant", "content": text}
        return {"index": 0, "message": message, "finish_reason": finish_reason}


class CompletionFormat(OpenAiFormat):
    """How the answer of a text completion is written."""

    id_prefix = "cmpl"
    response_object = "text_completion"
    chunk_object = "text_completion"

    def build_chunk_choice(
        self, text: str, finish_reason: str | None
    ) -> dict[str, Any]:
        """Return the choice of one chunk.

        :param text: new text.
        :param finish_reason: why the answer ended, on the last chunk.
        """
        return {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": finish_reason,
        }

    def build_response_choice(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the choice of an answer that is not streamed.

        :param text: whole text.
        :param finish_reason: why the answer ended.
        """
        return self.build_chunk_choice(text, finish_reason)
