import json

import anyio
import pytest
from hypothesis import given, settings, strategies as st

from jasminewalk.clock import ManualClock
from jasminewalk.exceptions import JasminewalkError, RefusedError
from jasminewalk.generated_codes import Code
from jasminewalk.generated_configuration import ServiceRule
from jasminewalk.generated_requests import ServiceReply
from jasminewalk.ingress._api_requests import JobBuilder, is_repeatable
from jasminewalk.ingress.api import CallerApi, ReadinessSource
from jasminewalk.operators.configuration import ConfigurationView
from jasminewalk.scheduling.attempts import ResponseAssembler
from jasminewalk.scheduling.tokens import CharacterTokenizer
from jasminewalk.transport.memory_limit import MemoryLimit

pytestmark = pytest.mark.anyio

CHAT_PATH = "/organisations/school/v1/chat/completions"
COMPLETION_PATH = "/organisations/school/v1/completions"
SERVICE_PATH = "/organisations/school/services/desk"
MEMORY_BYTES = 1_000_000
ORGANISATION = {
    "classes": {"quick": {"deadline_s": 10}},
    "models": {"tutor": {"pool": "tutor", "request_class": "quick"}},
    "services": {
        "desk": {"pool": "desk", "request_class": "quick", "repeatable": ["GET /"]}
    },
}
TEMPLATE = {
    "versions": {"1": {"parameters": {}, "organisation": ORGANISATION}},
}
SCHOOL = {"template": "t", "version": 1, "parameters": {}}


class FakeDispatcher:
    """Generates fixed tokens, then raises the configured error, if any."""

    def __init__(self, clock):
        self.clock = clock
        self.texts = ["a", "b"]
        self.error = None
        self.jobs = []

    async def generate(self, job, sink):
        self.jobs.append(job)
        assembler = ResponseAssembler()
        assembler.start_attempt(1)
        for text in self.texts:
            assembler.texts.append(text)
            assembler.next_token += 1
            await sink.write(2, [text])
        if self.error:
            raise self.error
        assembler.finish_reason = "stop"
        return assembler

    def get_last_attempt(self, request_id):
        return 3 if self.jobs else 0

    async def call(self, job):
        self.jobs.append(job)
        if self.error:
            raise self.error
        headers = [["x-echo", "1"], ["transfer-encoding", "chunked"]]
        return 1, ServiceReply(status=201, headers=headers, body=b"ok", replayed=True)


class FakeReadiness(ReadinessSource):
    has_configuration = True


class Response:
    def __init__(self, sent):
        self.status = sent[0]["status"]
        self.headers = {
            name.decode(): value.decode() for name, value in sent[0]["headers"]
        }
        self.body = b"".join(message.get("body", b"") for message in sent[1:])
        self.ended = not sent[-1].get("more_body", False)

    @property
    def document(self):
        return json.loads(self.body)

    @property
    def events(self):
        return [line[6:] for line in self.body.decode().split("\n\n") if line]


class FakeCaller:
    def __init__(self, app, block_on=None):
        self.app = app
        self.block_on = block_on

    async def request(self, method, path, body=b"", headers=()):
        sent = []
        messages = [{"type": "http.request", "body": body, "more_body": False}]

        async def receive():
            if messages:
                return messages.pop()
            await anyio.sleep_forever()

        async def send(message):
            if self.block_on and self.block_on in message.get("body", b""):
                await anyio.sleep_forever()
            sent.append(message)

        path, _, query = path.partition("?")
        scope = {
            "type": "http",
            "method": method,
            "raw_path": path.encode(),
            "path": path,
            "query_string": query.encode(),
            "headers": [(name.encode(), value.encode()) for name, value in headers],
        }
        await self.app(scope, receive, send)
        return Response(sent)

    async def post(self, path, document, headers=()):
        return await self.request("POST", path, json.dumps(document).encode(), headers)


def make_configuration():
    view = ConfigurationView()
    view.apply("template/t", 1, json.dumps(TEMPLATE))
    view.apply("organisation/school", 2, json.dumps(SCHOOL))
    return view


@pytest.fixture
def dispatcher():
    return FakeDispatcher(ManualClock(100.0))


@pytest.fixture
def caller(dispatcher):
    return FakeCaller(make_app(dispatcher))


def make_app(dispatcher):
    return CallerApi(
        dispatcher=dispatcher,
        job_builder=JobBuilder(
            configuration=make_configuration(),
            tokenizer=CharacterTokenizer(),
            clock=dispatcher.clock,
        ),
        readiness=FakeReadiness(),
        max_body_bytes=2000,
        id_prefix="p",
        memory=MemoryLimit(MEMORY_BYTES),
    )


def make_chat_body(**fields):
    messages = [{"role": "user", "content": "Is 94 degrees too hot?"}]
    return {"model": "tutor", "messages": messages, **fields}


async def test_complete_chat_response(caller, dispatcher):
    response = await caller.post(
        CHAT_PATH, make_chat_body(max_tokens=7), [("deadline-ms", "2500")]
    )
    assert response.status == 200
    assert response.headers["request-id"] == "p-1"
    assert response.headers["attempt"] == "2"
    choice = response.document["choices"][0]
    assert choice["message"] == {"role": "assistant", "content": "ab"}
    assert choice["finish_reason"] == "stop"
    assert response.document["usage"]["completion_tokens"] == 2
    profile = dispatcher.jobs[0].profile
    assert (profile.max_tokens, profile.deadline_s) == (7, 102.5)


async def test_streamed_chat_response_with_usage(caller):
    body = make_chat_body(stream=True, stream_options={"include_usage": True})
    response = await caller.post(CHAT_PATH, body)
    assert response.headers["content-type"].startswith("text/event-stream")
    assert response.events[-1] == "[DONE]"
    chunks = [json.loads(event) for event in response.events[:-1]]
    deltas = [chunk["choices"][0]["delta"] for chunk in chunks[:-1]]
    assert deltas[0]["role"] == "assistant"
    assert "".join(delta.get("content", "") for delta in deltas) == "ab"
    assert chunks[-2]["choices"][0]["finish_reason"] == "stop"
    assert chunks[-1]["usage"]["total_tokens"] > 2


async def test_text_completion(caller):
    response = await caller.post(
        COMPLETION_PATH, {"model": "tutor", "prompt": ["Hello"]}
    )
    assert response.document["choices"][0]["text"] == "ab"


async def test_models(caller):
    response = await caller.request("GET", "/organisations/school/v1/models")
    assert [model["id"] for model in response.document["data"]] == ["tutor"]


async def test_failed_stream_ends_with_an_error_event(caller, dispatcher):
    dispatcher.error = RefusedError("gone", code=Code.RETRIES_EXHAUSTED, ran="ran")
    response = await caller.post(CHAT_PATH, make_chat_body(stream=True))
    last = json.loads(response.events[-1])
    assert last["error"]["code"] == "retries_exhausted"
    assert (last["code"], last["ran"]) == (1402, "ran")
    assert response.ended


async def test_error_to_a_caller_that_does_not_read_is_dropped(dispatcher, monkeypatch):
    monkeypatch.setattr("jasminewalk.ingress.api.ERROR_SEND_TIMEOUT_S", 0.01)
    dispatcher.error = RefusedError("late", code=Code.DEADLINE_PASSED, ran="ran")
    caller = FakeCaller(make_app(dispatcher), block_on=b'"error"')
    response = await caller.post(CHAT_PATH, make_chat_body(stream=True))
    assert not response.ended


async def test_refusal_before_the_first_token_sets_the_status(caller, dispatcher):
    dispatcher.texts = []
    dispatcher.error = RefusedError("full", code=Code.OVERLOADED, retry_after_s=1.2)
    response = await caller.post(CHAT_PATH, make_chat_body(stream=True))
    assert (response.status, response.headers["retry-after"]) == (429, "2")
    assert response.headers["attempt"] == "3"
    assert response.document["ran"] == "not_run"
    assert response.document["request_id"] == response.headers["request-id"]


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "code"),
    [
        ("POST", CHAT_PATH, b"{", [], Code.BAD_JSON),
        ("POST", CHAT_PATH, b"\xff", [], Code.BAD_JSON),
        ("POST", CHAT_PATH, b"[" * 1500, [], Code.BAD_JSON),
        ("POST", CHAT_PATH, b"[]", [], Code.BAD_FIELD),
        ("POST", CHAT_PATH, b'{"model": "tutor"}', [], Code.BAD_FIELD),
        ("POST", CHAT_PATH, b'{"model": 1, "messages": []}', [], Code.BAD_FIELD),
        (
            "POST",
            CHAT_PATH,
            json.dumps(make_chat_body(n=2)).encode(),
            [],
            Code.BAD_FIELD,
        ),
        (
            "POST",
            CHAT_PATH,
            json.dumps(make_chat_body(stop="x")).encode(),
            [],
            Code.BAD_FIELD,
        ),
        (
            "POST",
            CHAT_PATH,
            json.dumps(make_chat_body(max_tokens=0)).encode(),
            [],
            Code.BAD_FIELD,
        ),
        ("POST", CHAT_PATH, b"x" * 2001, [], Code.BODY_TOO_LARGE),
        ("GET", CHAT_PATH, b"", [], Code.WRONG_METHOD),
        ("POST", "/organisations/school/v1/models", b"", [], Code.WRONG_METHOD),
        ("GET", "/", b"", [], Code.UNKNOWN_PATH),
        ("GET", "/organisations/school/v2/models", b"", [], Code.UNKNOWN_PATH),
        ("GET", "/organisations/school/v1/files", b"", [], Code.UNKNOWN_PATH),
        ("GET", "/organisations/none/v1/models", b"", [], Code.UNKNOWN_ORGANISATION),
        ("GET", "/organisations/%ff/v1/models", b"", [], Code.UNKNOWN_ORGANISATION),
        ("GET", "/organisations/school/services/none/x", b"", [], Code.UNKNOWN_SERVICE),
        ("GET", f"{SERVICE_PATH}/a/../b", b"", [], Code.UNKNOWN_PATH),
        ("GET", f"{SERVICE_PATH}/a/%2E%2e/b", b"", [], Code.UNKNOWN_PATH),
        ("GET", f"{SERVICE_PATH}/a", b"", [("deadline-ms", "soon")], Code.BAD_HEADER),
        ("GET", f"{SERVICE_PATH}/a", b"", [("deadline-ms", "0")], Code.BAD_HEADER),
        (
            "GET",
            f"{SERVICE_PATH}/a",
            b"",
            [("deadline-ms", "9" * 400)],
            Code.BAD_HEADER,
        ),
        ("GET", f"{SERVICE_PATH}/a", b"", [("request-class", "vip")], Code.BAD_HEADER),
        (
            "POST",
            f"{SERVICE_PATH}/a",
            b"",
            [("idempotency-key", "k" * 256)],
            Code.BAD_HEADER,
        ),
    ],
)
async def test_invalid_requests_get_result_codes(
    caller, dispatcher, method, path, body, headers, code
):
    response = await caller.request(method, path, body, headers)
    document = response.document
    assert (document["code"], document["ran"]) == (code, "not_run")
    assert document["name"] == document["error"]["code"] == code.name.lower()
    assert response.headers["request-id"]
    assert dispatcher.jobs == []


async def test_memory_of_open_request_bodies_is_limited(caller, dispatcher):
    memory = caller.app.memory
    assert (await caller.post(CHAT_PATH, make_chat_body())).status == 200
    assert memory.held_bytes == 0
    other = memory.open("request")
    other.add(MEMORY_BYTES - 100)
    response = await caller.post(CHAT_PATH, make_chat_body())
    assert (response.status, response.document["code"]) == (429, Code.OVERLOADED)
    assert response.headers["retry-after"] == "1"
    assert response.document["ran"] == "not_run"
    assert memory.held_bytes == other.held_bytes == MEMORY_BYTES - 100


async def test_unknown_model(caller):
    response = await caller.post(CHAT_PATH, make_chat_body(model="other"))
    assert response.document["code"] == Code.UNKNOWN_MODEL
    assert response.document["error"]["type"] == "invalid_request_error"


async def test_unexpected_exception_is_an_internal_error(caller, dispatcher):
    dispatcher.error = ValueError("bug")
    response = await caller.request("GET", f"{SERVICE_PATH}/a")
    assert (response.status, response.document["code"]) == (500, Code.INTERNAL_ERROR)


async def test_call_passes_method_path_headers_and_body(caller, dispatcher):
    headers = [("x-a", "1"), ("host", "h"), ("deadline-ms", "50"), ("connection", "x")]
    response = await caller.request(
        "PUT", f"{SERVICE_PATH}/a%20b?q=1", b"data", headers
    )
    job = dispatcher.jobs[0]
    assert (job.method, job.path, job.body) == ("PUT", "/a%20b?q=1", b"data")
    assert job.headers == [["x-a", "1"]]
    assert job.key == "p-1"
    assert (response.status, response.body) == (201, b"ok")
    assert response.headers["idempotency-key"] == "p-1"
    assert response.headers["idempotent-replayed"] == "true"
    assert response.headers["x-echo"] == "1"
    assert "transfer-encoding" not in response.headers


async def test_idempotency_key_is_dropped_for_repeatable_calls_only(caller, dispatcher):
    await caller.request(
        "POST", f"{SERVICE_PATH}/a", headers=[("idempotency-key", "k")]
    )
    await caller.request("GET", f"{SERVICE_PATH}/a", headers=[("idempotency-key", "k")])
    assert [job.key for job in dispatcher.jobs] == ["k", ""]


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/times", True),
        ("GET", "/times/monday", True),
        ("GET", "/timesheet", False),
        ("POST", "/times", False),
        ("PUT", "/seat", True),
    ],
)
def test_repeatable_calls(method, path, expected):
    rule = ServiceRule(pool="p", request_class="c", repeatable=["GET /times", "PUT /"])
    assert is_repeatable(rule, method, path) is expected


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["model", "messages", "role", "content", "n", "stream"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)


@given(
    st.sampled_from(["GET", "POST", "PATCH"]),
    st.sampled_from(
        [
            CHAT_PATH,
            COMPLETION_PATH,
            SERVICE_PATH,
            f"{SERVICE_PATH}/",
            "/organisations//v1/models",
            "*",
        ]
    ),
    st.binary(max_size=60) | json_values.map(lambda value: json.dumps(value).encode()),
    st.dictionaries(
        st.sampled_from(["deadline-ms", "idempotency-key", "request-class"]),
        st.text(st.characters(max_codepoint=255), max_size=8),
    ),
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_any_request_gets_a_response(method, path, body, headers):
    app = make_app(FakeDispatcher(ManualClock()))
    pairs = [(name, value) for name, value in headers.items()]
    response = anyio.run(FakeCaller(app).request, method, path, body, pairs)
    assert response.ended
    if response.status >= 400:
        assert JasminewalkError(code=Code(response.document["code"]))
        assert response.document["code"] != Code.INTERNAL_ERROR
