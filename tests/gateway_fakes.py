"""Factories of engines and prompts for tests of the gateway."""

from jasminewalk.gateway.fleet import EngineState
from jasminewalk.gateway.placement import PromptProfile
from jasminewalk.gateway.prompt_cache import PromptCache
from jasminewalk.platform.headers import PromptPart
from jasminewalk.platform.registry import EngineEntry


def make_engine(engine_id, stage="decode", *, speed=None, zone="north", **overrides):
    fields = {
        "engine_id": engine_id,
        "service": "llm",
        "address": f"10.0.0.1:{8000 + sum(engine_id.encode())}",
        "failure_domain": zone,
        "slots": 16,
        "leaving": False,
        "stage": stage,
        "started_ms": 1,
    }
    engine = EngineState(EngineEntry(**(fields | overrides)), PromptCache(400_000))
    if speed is not None:
        engine.speeds.append(speed)
    return engine


def make_prompt(*tokens, shared="handbook", own="notes"):
    part_ids = [f"{shared}-{number}" for number in range(len(tokens) - 1)] + [own]
    parts = tuple(
        PromptPart(part_id, part_tokens)
        for part_id, part_tokens in zip(part_ids, tokens, strict=True)
    )
    return PromptProfile(parts, sum(tokens))
