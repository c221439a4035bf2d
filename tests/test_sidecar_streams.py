import anyio
import msgspec
import pytest

from jasminewalk.clock import SystemClock
from jasminewalk.generated_requests import Frame, GenerateRequest
from jasminewalk.interfaces import Engine
from jasminewalk.metrics import Metrics
from jasminewalk.scheduling.queueing import EndpointQueue, QueueSettings
from jasminewalk.sidecars.sidecar_streams import GenerationRunner

pytestmark = pytest.mark.anyio

TIMEOUT_S = 10.0


class BlockingEngine(Engine):
    """Engine that sends the first token of each stream and blocks until released."""

    def __init__(self):
        self.started_count = 0
        self.released = anyio.Event()

    async def generate(self, request):
        self.started_count += 1
        yield msgspec.json.encode(Frame(n=0, t="a")) + b"\n"
        await self.released.wait()
        yield msgspec.json.encode(Frame(n=1, t="b", end="stop")) + b"\n"

    async def cancel(self, request_id, attempt):
        raise NotImplementedError

    state = order = cache_events = export_kv = import_kv = cancel


def make_request(number):
    return GenerateRequest(
        request_id=f"r{number}",
        attempt=1,
        organisation="o",
        request_class="c",
        model="m",
        prompt="p",
        prompt_tokens=100,
        max_tokens=2,
        deadline_s=60.0,
    )


def make_runner(engine, progress_timeout_s=TIMEOUT_S):
    return GenerationRunner(
        engine=engine,
        queue=EndpointQueue(QueueSettings(engine_prefill_s=0.0, max_running=8)),
        pool="tutor",
        clock=SystemClock(),
        progress_timeout_s=progress_timeout_s,
        metrics=Metrics("sidecar"),
    )


async def test_refusal_names_its_attempt():
    runner = make_runner(BlockingEngine())
    runner.queue.drain()
    sent = []

    async def send(message):
        sent.append(message)

    await runner.handle(make_request(3), anyio.sleep_forever, send)
    assert (b"jasminewalk-attempt", b"r3/1") in sent[0]["headers"]


async def test_first_token_lets_the_next_prefill_start():
    engine = BlockingEngine()
    runner = make_runner(engine)

    async def send(message):
        pass

    async with anyio.create_task_group() as group:
        for number in range(4):
            group.start_soon(
                runner.handle, make_request(number), anyio.sleep_forever, send
            )
        with anyio.fail_after(TIMEOUT_S):
            while engine.started_count < 4:
                await anyio.sleep(0.01)
        engine.released.set()
    assert runner.completed == 4
