"""ASGI application for callers: completions, service calls and models."""

from abc import ABC, abstractmethod
from typing import Any
from urllib.parse import unquote

import anyio
import msgspec
from absl import logging

from jasminewalk.exceptions import BadRequestError, JasminewalkError
from jasminewalk.generated_codes import Code
from jasminewalk.ingress._api_errors import build_error_body, build_error_headers
from jasminewalk.ingress._api_exchange import (
    CallerGoneError,
    CompleteResponseSink,
    Exchange,
    StreamedResponseSink,
    run_while_connected,
)
from jasminewalk.ingress._api_openai import (
    ChatFormat,
    ChatRequest,
    CompletionFormat,
    CompletionRequest,
    OpenAiFormat,
    OpenAiRequest,
    decode_request,
)
from jasminewalk.ingress._api_requests import (
    HOP_BY_HOP_HEADERS,
    CallerRequest,
    JobBuilder,
    check_ready,
)
from jasminewalk.ingress.dispatch import Dispatcher
from jasminewalk.ingress.jobs import GenerationJob
from jasminewalk.scheduling.attempts import ResponseAssembler
from jasminewalk.transport._http import Receive, Scope, Send, read_body
from jasminewalk.transport.memory_limit import MemoryLimit

__all__ = ["CallerApi", "ReadinessSource"]

BODY_TIMEOUT_S = 30.0
ERROR_SEND_TIMEOUT_S = 1.0
PATH_PREFIX = "organisations"


class ReadinessSource(ABC):
    """Reports whether the entry can serve callers."""

    @property
    @abstractmethod
    def has_configuration(self) -> bool:
        """Whether the configuration has been read."""


class CallerApi:
    """ASGI application that serves requests of callers.

    :param dispatcher: runs jobs.
    :param job_builder: validates requests and builds jobs.
    :param readiness: reports whether the configuration has been read.
    :param max_body_bytes: largest request body in bytes.
    :param id_prefix: prefix of request identifiers, unique to this process.
    :param memory: limit on what the requests hold.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        job_builder: JobBuilder,
        readiness: ReadinessSource,
        max_body_bytes: int,
        id_prefix: str,
        memory: MemoryLimit,
    ) -> None:
        self.dispatcher = dispatcher
        self.job_builder = job_builder
        self.readiness = readiness
        self.max_body_bytes = max_body_bytes
        self.id_prefix = id_prefix
        self.memory = memory
        self.request_count = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request.

        :param scope: ASGI scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """
        if scope["type"] != "http":
            return
        self.request_count += 1
        request_id = f"{self.id_prefix}-{self.request_count:x}"
        holding = self.memory.open("request")
        exchange = Exchange(scope, receive, send, request_id, holding)
        try:
            await self.handle(exchange)
        except CallerGoneError:
            logging.info(
                "[entry] Caller closed the connection. request_id=%s", request_id
            )
        except JasminewalkError as error:
            await self.send_error(exchange, error)
        except Exception:
            logging.exception("[entry] Request failed. request_id=%s", request_id)
            internal_error = JasminewalkError(code=Code.INTERNAL_ERROR)
            await self.send_error(exchange, internal_error)
        finally:
            holding.close()

    async def send_error(self, exchange: Exchange, error: JasminewalkError) -> None:
        """Send an error to the caller, as an event if the stream has started.

        :param exchange: HTTP exchange with the caller.
        :param error: the error.
        """
        logging.info(
            "[entry] Request refused. request_id=%s error=%s ran=%s",
            exchange.request_id,
            error,
            error.ran,
        )
        exchange.attempt = self.dispatcher.get_last_attempt(exchange.request_id)
        document = build_error_body(error, exchange.request_id)
        with anyio.move_on_after(ERROR_SEND_TIMEOUT_S):
            if exchange.streaming:
                event = b"data: " + msgspec.json.encode(document) + b"\n\n"
                await exchange.end_stream(event)
            elif not exchange.started:
                status = error.result.http_status
                await exchange.send_json_response(
                    status, document, build_error_headers(error)
                )

    async def handle(self, exchange: Exchange) -> None:
        """Route a request by its path.

        :param exchange: HTTP exchange with the caller.
        :raises JasminewalkError: if the request is refused.
        """
        path = exchange.scope["raw_path"].decode("latin-1").partition("?")[0]
        segments = path.split("/", 4)
        if len(segments) < 5 or segments[0] or segments[1] != PATH_PREFIX:
            raise BadRequestError(
                f"There is nothing at {path[:100]!r}.", code=Code.UNKNOWN_PATH
            )
        organisation, api, subpath = unquote(segments[2]), segments[3], segments[4]
        check_ready(self.readiness.has_configuration)
        request = CallerRequest.from_scope(
            exchange.scope,
            request_id=exchange.request_id,
            arrived_s=self.dispatcher.clock.monotonic(),
            organisation=organisation,
        )
        if api == "services":
            await self.handle_call(exchange, request, subpath)
        elif api == "v1":
            await self.handle_openai(exchange, request, subpath)
        else:
            raise BadRequestError(
                f"There is nothing at {path[:100]!r}.", code=Code.UNKNOWN_PATH
            )

    async def handle_openai(
        self, exchange: Exchange, request: CallerRequest, path: str
    ) -> None:
        """Serve a request in the OpenAI format.

        :param exchange: HTTP exchange with the caller.
        :param request: the request.
        :param path: path below ``/v1/``.
        :raises JasminewalkError: if the request is refused.
        """
        if path == "models":
            require_method(request, "GET")
            await self.send_models(exchange, request)
        elif path == "chat/completions":
            require_method(request, "POST")
            await self.generate(exchange, request, ChatRequest, ChatFormat)
        elif path == "completions":
            require_method(request, "POST")
            await self.generate(exchange, request, CompletionRequest, CompletionFormat)
        else:
            raise BadRequestError(
                f"There is nothing at {path[:100]!r}.", code=Code.UNKNOWN_PATH
            )

    async def send_models(self, exchange: Exchange, request: CallerRequest) -> None:
        """Send the list of the organisation's models.

        :param exchange: HTTP exchange with the caller.
        :param request: the request.
        """
        organisation = self.job_builder.get_organisation(request)
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": organisation.name}
            for name in sorted(organisation.models)
        ]
        await exchange.send_json_response(200, {"object": "list", "data": models})

    async def read_body(self, exchange: Exchange) -> bytes:
        """Read the body of a request.

        :param exchange: HTTP exchange with the caller.
        :raises JasminewalkError: if the body is too large or arrives too slowly, or if
            the bodies of open requests use too much memory.
        :raises CallerGoneError: if the caller closed the connection.
        """
        with anyio.move_on_after(BODY_TIMEOUT_S):
            try:
                return await read_body(
                    exchange.receive, self.max_body_bytes, exchange.holding
                )
            except JasminewalkError as error:
                if error.code == Code.CALLER_GONE:
                    raise CallerGoneError from error
                raise
        raise JasminewalkError(
            "The body did not arrive in time.",
            code=Code.DEADLINE_PASSED,
            ran="not_run",
        )

    async def generate(
        self,
        exchange: Exchange,
        request: CallerRequest,
        body_type: type[OpenAiRequest],
        format_type: type[OpenAiFormat],
    ) -> None:
        """Serve a generation.

        :param exchange: HTTP exchange with the caller.
        :param request: the request.
        :param body_type: class of the request body.
        :param format_type: class of the response format.
        :raises JasminewalkError: if the request is refused.
        """
        body = decode_request(body_type, await self.read_body(exchange))
        job = self.job_builder.build_generation(request, body)
        response_format = format_type(
            request_id=request.request_id,
            model=body.model,
            created_s=int(self.dispatcher.clock.utcnow().timestamp()),
        )
        if body.stream:
            await self.send_stream(exchange, job, response_format, body.include_usage)
        else:
            await self.send_complete(exchange, job, response_format)

    async def send_stream(
        self,
        exchange: Exchange,
        job: GenerationJob,
        response_format: OpenAiFormat,
        include_usage: bool,
    ) -> None:
        """Run a generation and stream its response.

        :param exchange: HTTP exchange with the caller.
        :param job: the generation.
        :param response_format: format of the response.
        :param include_usage: whether to end the stream with token counts.
        """

        async def run_job() -> None:
            assembler = await self.dispatcher.generate(
                job, StreamedResponseSink(exchange, response_format)
            )
            if not exchange.started:
                await exchange.start_stream()
            usage = build_usage(job, assembler) if include_usage else None
            await exchange.end_stream(
                response_format.encode_last_events(assembler.finish_reason, usage)
            )

        await run_while_connected(exchange.receive, run_job)

    async def send_complete(
        self, exchange: Exchange, job: GenerationJob, response_format: OpenAiFormat
    ) -> None:
        """Run a generation and send its response in one piece.

        :param exchange: HTTP exchange with the caller.
        :param job: the generation.
        :param response_format: format of the response.
        """

        async def run_job() -> None:
            assembler = await self.dispatcher.generate(
                job, CompleteResponseSink(exchange)
            )
            document = response_format.build_response(
                assembler.text, assembler.finish_reason, build_usage(job, assembler)
            )
            await exchange.send_json_response(200, document)

        await run_while_connected(exchange.receive, run_job)

    async def handle_call(
        self, exchange: Exchange, request: CallerRequest, subpath: str
    ) -> None:
        """Serve a call of a service.

        :param exchange: HTTP exchange with the caller.
        :param request: the request.
        :param subpath: service name and the path below it.
        :raises JasminewalkError: if the request is refused.
        """
        service, _, path = subpath.partition("/")
        body = await self.read_body(exchange)
        query = exchange.scope["query_string"].decode("latin-1")
        job = self.job_builder.build_call(
            request, unquote(service), f"/{path}", query, body, exchange.holding
        )

        async def run_job() -> None:
            exchange.attempt, reply = await self.dispatcher.call(job)
            headers = [
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in reply.headers
                if name.lower().encode("latin-1") not in HOP_BY_HOP_HEADERS
            ]
            headers += exchange.common_headers
            if job.key:
                headers.append((b"idempotency-key", job.key.encode()))
            if reply.replayed:
                headers.append((b"idempotent-replayed", b"true"))
            headers.append((b"content-length", str(len(reply.body)).encode()))
            exchange.started = True
            await exchange.send(
                {
                    "type": "http.response.start",
                    "status": reply.status,
                    "headers": headers,
                }
            )
            await exchange.end_stream(reply.body)

        await run_while_connected(exchange.receive, run_job)


def require_method(request: CallerRequest, method: str) -> None:
    """Refuse requests with another method than the allowed one.

    :param request: the request.
    :param method: the allowed method.
    :raises BadRequestError: if the request has another method.
    """
    if request.method != method:
        raise BadRequestError(
            f"The method {request.method} is not allowed; use {method}.",
            code=Code.WRONG_METHOD,
        )


def build_usage(job: GenerationJob, assembler: ResponseAssembler) -> dict[str, Any]:
    """Build the token counts of a response.

    :param job: the generation.
    :param assembler: assembler of the complete response.
    """
    prompt_tokens = job.profile.prompt_tokens
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": assembler.next_token,
        "total_tokens": prompt_tokens + assembler.next_token,
        "prompt_tokens_details": {"cached_tokens": assembler.cached_tokens},
    }
