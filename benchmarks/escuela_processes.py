"""Drives the Escuela workload of the measurement through real processes.

Usage: python benchmarks/escuela_processes.py LOAD SHARE, where LOAD is the part of
the capacity and SHARE the part of the requests in the verdict class.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

import yaml

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))

import fleet as fleets  # noqa: E402

WORKLOAD = ROOT / "examples" / "escuela" / "measure.yaml"
CAPACITY_REQUESTS_PER_S = 41.0
ENTRIES = 3
WARM_S = 30
MAIN_S = 60
MEAN_PART_OF_MAX_TOKENS = 0.8125
ORGANISATIONS = ("hotel-cantabria", "cafes-oviedo", "cafes-santander", "cafes-coruna")
MODELS = ["tutor", "verdict", "bar"]
POOL = {"kind": "engine", "models": MODELS, "role_change_cost": 8}


class DirectFleet(fleets.Fleet):
    """Fleet whose sidecars reach their endpoints without the tests' relay."""

    def get_endpoint_address(self, name):
        """Return the address of an endpoint itself."""
        return self.addresses[name]


def configure(workload):
    """Put the workload's classes into the documents that the fleet publishes."""
    classes = {
        name: {
            "deadline_s": rule["deadline_s"],
            "first_token_s": rule["first_token_s"],
            "priority": rule.get("priority", 0),
            "expected_tokens": rule["output_tokens"],
        }
        for name, rule in workload["classes"].items()
    }
    body = {
        "classes": {**classes, "booking": {"deadline_s": 20}},
        "models": {name: {"pool": "tutor", "request_class": name} for name in classes}
        | {"tutor": {"pool": "tutor", "request_class": "bar"}},
        "services": {"enrolment": {"pool": "enrolment", "request_class": "booking"}},
    }
    versions = {"1": {"parameters": {}, "organisation": body}}
    fleets.TEMPLATE = {"versions": versions}
    fleets.FLEET = {"pools": {"tutor": POOL, "enrolment": {"kind": "service"}}}
    fleets.PEERS = {"shared_key": fleets.SHARED_KEY}


def engine_settings(engine, speed):
    """Return the model of an engine that is faster than the first by a factor."""
    return {
        **{key: engine[key] for key in ("prefill_chunk_tokens", "max_batch")},
        "cache_blocks": engine["cache_blocks"],
        "prefill_tokens_per_s": engine["prefill_tokens_per_s"] * speed,
        "chunk_overhead_s": engine["chunk_overhead_s"] / speed,
        "decode_step_s": engine["decode_step_s"] / speed,
        "decode_step_per_stream_s": engine["decode_step_per_stream_s"] / speed,
        "models": MODELS,
        "report_lag_s": 0.5,
    }


def start(fleet, workload):
    """Start the fleet and wait until every entry answers."""
    fleet.start_platform()
    fleet.publish()
    for name in ORGANISATIONS:
        fleet.append(f"organisation/{name}", fleets.ORGANISATION)
    for number, speed in enumerate(workload["speeds"], 1):
        settings = engine_settings(workload["engine"], speed)
        fleet.start_endpoint("engine", number, **settings)
    fleet.start_endpoint("service", 1)
    for number in range(1, ENTRIES + 1):
        fleet.start_entry(number)
    for name in fleet.operator_addresses:
        fleets.wait_for(lambda name=name: fleet.is_ready(name), f"{name} ready")
    for entry in fleet.entry_addresses:
        fleets.wait_for(lambda entry=entry: fleet.chat(entry).status == 200, "a chat")


def plan(workload, entry, seed, requests_per_s, share):
    """Return the plan of one load process, which sends to one entry."""
    kinds = {
        name: {
            "organisations": list(ORGANISATIONS),
            "model": name,
            "prefix_tokens": dict.fromkeys(("least", "most"), rule["prefix_tokens"]),
            "prefixes": rule["prefixes"],
            "question_tokens": {
                "least": rule["suffix_tokens"] // 2,
                "most": rule["suffix_tokens"] * 3 // 2,
            },
            "max_tokens": round(rule["output_tokens"] / MEAN_PART_OF_MAX_TOKENS),
            "first_token_s": rule["first_token_s"],
            "deadline_s": rule["deadline_s"],
        }
        for name, rule in workload["classes"].items()
    }
    phase = {
        "requests_per_s": requests_per_s,
        "shares": {"verdict": share, "bar": 1 - share},
    }
    phases = [{"name": "warm", "duration_s": WARM_S, **phase}]
    phases.append({"name": "main", "duration_s": MAIN_S, **phase})
    return {"entries": [entry], "seed": seed, "kinds": kinds, "phases": phases}


def send(fleet, workload, load, share):
    """Send the load from one process an entry and return their results."""
    rate = CAPACITY_REQUESTS_PER_S * load / ENTRIES
    senders = []
    for seed, entry in enumerate(fleet.entry_addresses.values(), 7):
        folder = fleet.folder / f"load-{seed}"
        folder.mkdir()
        path = folder / "plan.yaml"
        path.write_text(yaml.safe_dump(plan(workload, entry, seed, rate, share)))
        command = [sys.executable, "-m", "jasminewalk", "load", str(path)]
        command += ["--out", str(folder)]
        output = (folder / "output").open("w")
        senders.append((folder, subprocess.Popen(command, stdout=output)))
    for _, sender in senders:
        sender.wait()
    return [json.loads((folder / "result.json").read_text()) for folder, _ in senders]


def show(results):
    """Print the sum over the load processes, and each one's percentiles."""
    due = sum(kind["due"] for r in results for kind in r["kinds"].values())
    in_time = sum(kind["in_time"] for r in results for kind in r["kinds"].values())
    seconds = WARM_S + MAIN_S
    print(f"due {due / seconds:.1f}/s, in time {in_time / seconds:.1f}/s")
    print(f"in time {in_time / due:.3f} of what was due")
    for name in results[0]["kinds"]:
        for result in results:
            kind = result["kinds"][name]
            first, between = kind["first_token_ms"], kind["between_tokens_ms"]
            print(
                f"{name}: due {kind['due']}, in time {kind['in_time']}, "
                f"refused {kind['refused']}, failed {kind['failed']}, "
                f"first token ms {first}, between tokens ms {between}"
            )


def main(load, share):
    """Start the fleet, send the load and print what came back."""
    workload = yaml.safe_load(WORKLOAD.read_text(encoding="utf-8"))
    configure(workload)
    with tempfile.TemporaryDirectory() as folder:
        fleet = DirectFleet(Path(folder))
        try:
            start(fleet, workload)
            show(send(fleet, workload, load, share))
        finally:
            fleet.stop()


if __name__ == "__main__":
    main(float(sys.argv[1]), float(sys.argv[2]))
