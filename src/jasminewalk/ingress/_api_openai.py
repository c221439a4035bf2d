"""Request and response bodies of the supported part of the OpenAI API."""

from typing import Annotated, Any, Literal

import attrs
import msgspec

from jasminewalk.decoding import DECODE_ERRORS
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

    :param type: type of the part; only text is supported.
    :param text: the text.
    """

    type: Literal["text"]
    text: str = ""


@attrs.frozen(kw_only=True)
class ChatMessage:
    """One message of a chat.

    :param role: role of the author.
    :param content: text, or a list of text parts.
    """

    role: str
    content: str | list[ContentPart] | None = None

    @property
    def text(self) -> str:
        """Text of the message."""
        if isinstance(self.content, list):
            return "".join(part.text for part in self.content)
        return self.content or ""


@attrs.frozen(kw_only=True)
class StreamOptions:
    """Options of a streamed response.

    :param include_usage: whether to send token counts at the end of the stream.
    """

    include_usage: bool = False


@attrs.frozen(kw_only=True)
class OpenAiRequest:
    """Fields that chat and text completion requests share.

    :param model: model name.
    :param stream: whether to stream the response.
    :param stream_options: options of the stream.
    :param max_tokens: maximum number of output tokens.
    :param n: number of completions; only one is supported.
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
        """Maximum number of output tokens; None if the request does not set it."""
        return self.max_tokens

    @property
    def include_usage(self) -> bool:
        """Whether a streamed response ends with token counts."""
        return bool(self.stream_options and self.stream_options.include_usage)


@attrs.frozen(kw_only=True)
class ChatRequest(OpenAiRequest):
    """Request for a chat completion.

    :param messages: messages of the conversation, oldest first.
    :param max_completion_tokens: replaces ``max_tokens`` in newer clients.
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
        """Maximum number of output tokens; None if the request does not set it."""
        return self.max_completion_tokens or self.max_tokens


@attrs.frozen(kw_only=True)
class CompletionRequest(OpenAiRequest):
    """Request for a text completion.

    :param prompt: the prompt, or a list of exactly one prompt.
    """

    prompt: str | Annotated[list[str], msgspec.Meta(min_length=1, max_length=1)]

    @property
    def prompt_text(self) -> str:
        """Rendered prompt."""
        return self.prompt if isinstance(self.prompt, str) else self.prompt[0]


def decode_request(body_type: type[OpenAiRequest], body: bytes) -> OpenAiRequest:
    """Decode and validate the body of a request.

    :param body_type: class of the request.
    :param body: JSON text.
    :raises BadRequestError: if the body is not valid JSON or a field is not allowed.
    """
    try:
        document = msgspec.json.decode(body)
    except DECODE_ERRORS as error:
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
    """Refuse a request that sets a field which the entry does not support.

    Empty and false values are accepted.

    :param document: decoded body.
    :raises BadRequestError: if the body sets such a field.
    """
    for name in UNSUPPORTED_FIELDS:
        if document.get(name):
            raise BadRequestError(f"The field {name!r} is not supported.")


class OpenAiFormat:
    """Encodes one response in the OpenAI format.

    :param request_id: identifier of the request.
    :param model: model name.
    :param created_s: creation time of the response, in seconds since the Unix epoch.
    """

    id_prefix = ""
    response_object = ""
    chunk_object = ""
    role_delta: dict[str, Any] | None = None

    def __init__(self, *, request_id: str, model: str, created_s: int) -> None:
        self.response_id = f"{self.id_prefix}-{request_id}"
        self.model = model
        self.created_s = created_s
        # Chunks differ only in their text, so the rest is encoded once.
        placeholder = "\x00"
        event = self.encode_chunk([self.build_chunk_choice(placeholder, None)])
        self.text_prefix, self.text_suffix = event.split(_encode(placeholder))

    def build_chunk_choice(
        self, text: str, finish_reason: str | None
    ) -> dict[str, Any]:
        """Build the choice of one chunk.

        :param text: new text.
        :param finish_reason: reason why the response ended; None before its end.
        """
        raise NotImplementedError

    def build_response_choice(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Build the choice of a response that is not streamed.

        :param text: complete text.
        :param finish_reason: reason why the response ended.
        """
        raise NotImplementedError

    def encode_chunk(
        self, choices: list[dict[str, Any]], usage: dict[str, Any] | None = None
    ) -> bytes:
        """Encode one chunk as a server-sent event.

        :param choices: choices of the chunk.
        :param usage: token counts, in the last chunk only.
        """
        chunk: dict[str, Any] = {
            "id": self.response_id,
            "object": self.chunk_object,
            "created": self.created_s,
            "model": self.model,
            "choices": choices,
        }
        if usage is not None:
            chunk["usage"] = usage
        return b"data: " + _encode(chunk) + b"\n\n"

    def encode_texts(self, texts: list[str]) -> bytes:
        """Encode one server-sent event per text.

        :param texts: texts of new tokens.
        """
        prefix, suffix = self.text_prefix, self.text_suffix
        if len(texts) == 1:
            return prefix + _encode(texts[0]) + suffix
        return b"".join([prefix + _encode(text) + suffix for text in texts])

    def encode_first_events(self) -> bytes:
        """Encode the events that precede the first text."""
        return b""

    def encode_last_events(
        self, finish_reason: str, usage: dict[str, Any] | None = None
    ) -> bytes:
        """Encode the events that follow the last text.

        :param finish_reason: reason why the response ended.
        :param usage: token counts, if they were requested.
        """
        events = self.encode_chunk([self.build_chunk_choice("", finish_reason)])
        if usage is not None:
            events += self.encode_chunk([], usage)
        return events + DONE_EVENT

    def build_response(
        self, text: str, finish_reason: str, usage: dict[str, Any]
    ) -> dict[str, Any]:
        """Build the body of a response that is not streamed.

        :param text: complete text.
        :param finish_reason: reason why the response ended.
        :param usage: token counts.
        """
        return {
            "id": self.response_id,
            "object": self.response_object,
            "created": self.created_s,
            "model": self.model,
            "choices": [self.build_response_choice(text, finish_reason)],
            "usage": usage,
        }


class ChatFormat(OpenAiFormat):
    """Encodes the response to a chat completion request."""

    id_prefix = "chatcmpl"
    response_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def build_chunk_choice(
        self, text: str, finish_reason: str | None
    ) -> dict[str, Any]:
        """Build the choice of one chunk.

        :param text: new text.
        :param finish_reason: reason why the response ended; None before its end.
        """
        delta = {} if finish_reason else {"content": text}
        return {"index": 0, "delta": delta, "finish_reason": finish_reason}

    def encode_first_events(self) -> bytes:
        """Encode the events that precede the first text."""
        delta = {"role": "assistant", "content": ""}
        return self.encode_chunk([{"index": 0, "delta": delta, "finish_reason": None}])

    def build_response_choice(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Build the choice of a response that is not streamed.

        :param text: complete text.
        :param finish_reason: reason why the response ended.
        """
        message = {"role": "assistant", "content": text}
        return {"index": 0, "message": message, "finish_reason": finish_reason}


class CompletionFormat(OpenAiFormat):
    """Encodes the response to a text completion request."""

    id_prefix = "cmpl"
    response_object = "text_completion"
    chunk_object = "text_completion"

    def build_chunk_choice(
        self, text: str, finish_reason: str | None
    ) -> dict[str, Any]:
        """Build the choice of one chunk.

        :param text: new text.
        :param finish_reason: reason why the response ended; None before its end.
        """
        return {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": finish_reason,
        }

    def build_response_choice(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Build the choice of a response that is not streamed.

        :param text: complete text.
        :param finish_reason: reason why the response ended.
        """
        return self.build_chunk_choice(text, finish_reason)
