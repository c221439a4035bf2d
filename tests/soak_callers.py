"""Callers of the soak, which check their answers."""

import asyncio

from platform_fakes import FakeEngine
from soak_checks import (
    NOT_EXECUTED_STATUSES,
    Answer,
    ViolationError,
    check_answer,
    check_stream,
    parse_answer,
)

__all__ = ["SoakCallers"]

CALLERS = 10
# Seconds within which the requests of a disconnected caller must end at the engines.
CANCEL_TIMEOUT_S = 0.8
# Seconds for which an older version may still be observed after a newer one.
ROLLBACK_SLACK_S = 0.5
# Seconds within which a published version must be in force at a gateway without a fault
# in the same time, and within which a caller's request must be handled.
IN_FORCE_S = 3.0
# Seconds within which a request that no engine is needed for must be answered.
REFUSAL_S = 1.5
# Seconds between two published versions without which the second is not checked: the
# first may still be read when it comes.
MIN_PUBLICATION_GAP_S = 2.0
# Shares of the requests with a key that was taken away, and with one of nobody.
REVOKED_KEY_SHARE, UNKNOWN_KEY_SHARE = 0.1, 0.05
# Seconds after which some callers abandon their stream.
ABANDONED_S = (0.002, 0.05)


class SoakCallers:
    """Callers that send requests one after the other.

    :param fleet: the processes that they call.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.request_count = 0
        self.answers = 0
        self.not_executed = set()
        self.completed_streams = set()
        # Other fleets have no organisations.
        self.keys = getattr(fleet, "keys", None)
        self.used_keys = {}

    async def run(self, ends_at):
        """Send requests until a time.

        :raises ViolationError: if an answer is missing or wrong.
        """
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(self.run_caller(ends_at))

    async def run_caller(self, ends_at):
        actions = (
            self.book, self.book, self.look, self.stream, self.stream, self.stream,
            self.disconnect, self.check_version,
        )  # fmt: skip
        if self.fleet.repeats_or_endless:
            actions += (
                *(self.stream,) * 4,
                *(self.abandon_stream,) * 2,
                self.ask_without_route,
            )
        if self.fleet.slow_links:
            actions += (self.check_in_force, self.check_in_force)
        while self.fleet.now() < ends_at:
            gateway = self.fleet.random.choice(self.fleet.gateways)
            await self.fleet.random.choice(actions)(gateway)
            await asyncio.sleep(self.fleet.random.uniform(0.0, 0.05))

    def create_id(self):
        self.request_count += 1
        return f"q{self.request_count}"

    async def send(self, gateway, path, body, timeout_s, request_id="", **headers):
        request_id = request_id or self.create_id()
        if self.keys is not None:
            headers["X-Jasminewalk-Credential"] = self.use_key(
                gateway, path, request_id
            )
            headers["X-Jasminewalk-Tenant"] = "org-of-the-caller"
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: bar.example",
            f"X-Jasminewalk-Request-Id: {request_id}",
            "X-Jasminewalk-Deadline-Ms: 2000",
            "Connection: close",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    gateway.ip, gateway.front
                )
                writer.write(data)
                response = await reader.read()
        except (OSError, TimeoutError):
            return Answer(request_id)
        finally:
            if writer is not None:
                writer.close()
        answer = parse_answer(request_id, response)
        if answer.status in NOT_EXECUTED_STATUSES:
            self.not_executed.add(request_id)
        return answer

    def use_key(self, gateway, path, request_id):
        """Return a key for a request; a few were taken away, or never were one.

        Requests that look for a version have the key that has held for longest.
        """
        keys, draw = self.keys, self.fleet.random.random()
        if path.startswith("/version-"):
            self.used_keys[request_id] = keys.valid[0], True
            return keys.valid[0]
        if draw < UNKNOWN_KEY_SHARE:
            key, may_run = "key-of-nobody", False
        elif draw < UNKNOWN_KEY_SHARE + REVOKED_KEY_SHARE and keys.revoked_at:
            key = self.fleet.random.choice(list(keys.revoked_at))
            may_run = not self.must_know(gateway, keys.revoked_at[key])
        else:
            key, may_run = self.fleet.random.choice(keys.valid), True
        self.used_keys[request_id] = key, may_run
        return key

    def must_know(self, gateway, published_at):
        """Return whether a gateway must by now apply what was published at a time."""
        faults_at = (
            published_at,
            gateway.last_fault_at,
            self.fleet.store_failed_at,
        )
        healthy = gateway.served and not gateway.pauses and not self.fleet.store_outages
        return healthy and self.fleet.now() - max(faults_at) >= IN_FORCE_S

    async def ask(self, gateway, path, body=b"", timeout_s=IN_FORCE_S, **kwargs):
        """Send a request that must have an answer unless its gateway has a fault."""
        asked_at, last_fault_at = self.fleet.now(), gateway.last_fault_at
        may_be_silent = gateway.may_be_silent(asked_at)
        process = gateway.process
        answer = await self.send(gateway, path, body, timeout_s, **kwargs)
        self.answers += answer.status == 200
        if answer.status == 200 and process is gateway.process:
            gateway.served = True
        had_fault = (
            may_be_silent
            or gateway.may_be_silent(asked_at)
            or last_fault_at != gateway.last_fault_at
        )
        if answer.status == 0 and not had_fault:
            raise ViolationError(
                f"{answer.request_id} {path} had no answer from {gateway.name}"
            )
        return answer

    async def book(self, gateway):
        await self.ask_plainly(gateway, "/book/x")

    async def look(self, gateway):
        await self.ask_plainly(gateway, "/look/x")

    async def ask_plainly(self, gateway, path):
        request_id = self.create_id()
        body = request_id.encode()
        answer = await self.ask(gateway, path, body, request_id=request_id)
        check_answer(answer, b"served by " + body)

    async def ask_without_route(self, gateway):
        await self.ask(gateway, "/nowhere/", timeout_s=REFUSAL_S)

    def build_prompt(self):
        prompts = [("380,40", "a:80,b:300"), ("9000,40", "c:8000,d:1000")]
        if self.fleet.repeats_or_endless:
            prompts += [("9000,40", f"c:1000,e{self.request_count}:8000")] * 2
        usage, prefix = self.fleet.random.choice(prompts)
        return {
            "X-Jasminewalk-Token-Usage": usage,
            "X-Jasminewalk-Prompt-Prefix": prefix,
        }

    async def stream(self, gateway):
        path = self.fleet.random.choice(("/help/x", "/verdict/x"))
        answer = await self.ask(gateway, path, **self.build_prompt())
        check_stream(answer, FakeEngine("").event_count)
        if answer.status == 200 and answer.complete:
            self.completed_streams.add(answer.request_id)

    async def abandon_stream(self, gateway):
        path = self.fleet.random.choice(("/help/x", "/verdict/x"))
        timeout_s = self.fleet.random.uniform(*ABANDONED_S)
        await self.send(gateway, path, b"", timeout_s, **self.build_prompt())

    async def disconnect(self, gateway):
        request_id = self.create_id()
        last_fault_at = gateway.last_fault_at
        await self.send(gateway, "/look/slow", b"", 0.05, request_id)
        await asyncio.sleep(CANCEL_TIMEOUT_S)
        had_fault = last_fault_at != gateway.last_fault_at or gateway.pauses
        if had_fault or gateway.stopping:
            return
        still_running = [
            engine
            for engine in self.fleet.engines
            if request_id in engine.running_requests
        ]
        if still_running:
            raise ViolationError(
                f"{still_running[0].engine_id} still runs for a disconnected caller"
            )

    async def check_in_force(self, gateway):
        """Check that a version published in time is served by a healthy gateway."""
        version, asked_at = self.fleet.version, self.fleet.now()
        *_, before, published_at = self.fleet.published_at.values()
        if published_at - before < MIN_PUBLICATION_GAP_S:
            return
        faults_at = (
            published_at,
            gateway.last_fault_at,
            self.fleet.store_failed_at,
        )
        healthy = gateway.served and not gateway.pauses and not self.fleet.store_outages
        if not healthy or asked_at - max(faults_at) < IN_FORCE_S:
            return
        answer = await self.send(gateway, f"/version-{version}/", b"", 1.0)
        if answer.status == 404 and self.fleet.version == version:
            raise ViolationError(f"version {version} is not in force: {gateway.name}")

    async def check_version(self, gateway):
        process, asked_at = gateway.process, self.fleet.now()
        for version in range(self.fleet.version, max(0, self.fleet.version - 3), -1):
            answer = await self.send(gateway, f"/version-{version}/", b"", 1.0)
            if answer.status in (0, 401, 503):
                return
            if answer.status == 404:
                continue
            if process is not gateway.process:
                return
            is_older = version < gateway.observed_version
            if is_older and asked_at > gateway.observed_at + ROLLBACK_SLACK_S:
                raise ViolationError(f"{gateway.name} returned to version {version}")
            if version > gateway.observed_version:
                gateway.observed_version = version
                gateway.observed_at = self.fleet.now()
            return
