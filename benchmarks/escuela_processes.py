"""Run the Escuela example workload against real processes.

Usage: python benchmarks/escuela_processes.py LOAD SHARE, where LOAD is the request
rate as a fraction of the capacity and SHARE the fraction of the requests in the verdict
class.
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

WORKLOAD_PATH = ROOT / "examples" / "escuela" / "measure.yaml"
CAPACITY_REQUESTS_PER_S = 41.0
ENTRIES = 3
WARMUP_S = 30
MEASURED_S = 60
MEAN_SHARE_OF_MAX_TOKENS = 0.8125
ORGANISATIONS = ("hotel-cantabria", "cafes-oviedo", "cafes-santander", "cafes-coruna")
MODELS = ["tutor", "verdict", "bar"]
ENGINE_POOL = {"kind": "engine", "models": MODELS, "role_change_cost": 8}


class DirectFleet(fleets.Fleet):
    """Fleet whose sidecars reach their endpoints without the tests' relay."""

    def get_endpoint_address(self, name):
        """Return the address of an endpoint itself, bypassing the relay."""
        return self.addresses[name]


def configure_fleet(workload):
    """Set the documents that the fleet publishes to the classes of the workload."""
    classes = {
        name: {
            "deadline_s": request_class["deadline_s"],
            "first_token_s": request_class["first_token_s"],
            "priority": request_class.get("priority", 0),
            "expected_tokens": request_class["output_tokens"],
        }
        for name, request_class in workload["classes"].items()
    }
    organisation_document = {
        "classes": {**classes, "booking": {"deadline_s": 20}},
        "models": {name: {"pool": "tutor", "request_class": name} for name in classes}
        | {"tutor": {"pool": "tutor", "request_class": "bar"}},
        "services": {"enrolment": {"pool": "enrolment", "request_class": "booking"}},
    }
    versions = {"1": {"parameters": {}, "organisation": organisation_document}}
    fleets.TEMPLATE = {"versions": versions}
    fleets.FLEET = {"pools": {"tutor": ENGINE_POOL, "enrolment": {"kind": "service"}}}
    fleets.PEERS = {"shared_key": fleets.SHARED_KEY}


def build_engine_settings(engine, speed_factor):
    """Return the settings of an engine, scaled by its speed factor."""
    return {
        **{key: engine[key] for key in ("prefill_chunk_tokens", "max_batch")},
        "cache_blocks": engine["cache_blocks"],
        "prefill_tokens_per_s": engine["prefill_tokens_per_s"] * speed_factor,
        "chunk_overhead_s": engine["chunk_overhead_s"] / speed_factor,
        "decode_step_s": engine["decode_step_s"] / speed_factor,
        "decode_step_per_stream_s": engine["decode_step_per_stream_s"] / speed_factor,
        "models": MODELS,
        "report_lag_s": 0.5,
    }


def start_fleet(fleet, workload):
    """Start the fleet and wait until every entry answers a chat request."""
    fleet.start_platform()
    fleet.publish()
    for name in ORGANISATIONS:
        fleet.append(f"organisation/{name}", fleets.ORGANISATION)
    for number, speed_factor in enumerate(workload["speeds"], 1):
        settings = build_engine_settings(workload["engine"], speed_factor)
        fleet.start_endpoint("engine", number, **settings)
    fleet.start_endpoint("service", 1)
    for number in range(1, ENTRIES + 1):
        fleet.start_entry(number)
    for name in fleet.operator_addresses:
        fleets.wait_for(lambda name=name: fleet.is_ready(name), f"{name} ready")
    for entry in fleet.entry_addresses:
        fleets.wait_for(lambda entry=entry: fleet.chat(entry).status == 200, "a chat")


def build_load_plan(workload, entry, seed, requests_per_s, verdict_share):
    """Build the plan of one load process, which sends to one entry."""
    kinds = {
        name: {
            "organisations": list(ORGANISATIONS),
            "model": name,
            "prefix_tokens": dict.fromkeys(
                ("least", "most"), request_class["prefix_tokens"]
            ),
            "prefixes": request_class["prefixes"],
            "question_tokens": {
                "least": request_class["suffix_tokens"] // 2,
                "most": request_class["suffix_tokens"] * 3 // 2,
            },
            "max_tokens": round(
                request_class["output_tokens"] / MEAN_SHARE_OF_MAX_TOKENS
            ),
            "first_token_s": request_class["first_token_s"],
            "deadline_s": request_class["deadline_s"],
        }
        for name, request_class in workload["classes"].items()
    }
    phase = {
        "requests_per_s": requests_per_s,
        "shares": {"verdict": verdict_share, "bar": 1 - verdict_share},
    }
    phases = [{"name": "warm", "duration_s": WARMUP_S, **phase}]
    phases.append({"name": "main", "duration_s": MEASURED_S, **phase})
    return {"entries": [entry], "seed": seed, "kinds": kinds, "phases": phases}


def send_load(fleet, workload, load_factor, verdict_share):
    """Send the load from one process per entry and return the results of all."""
    requests_per_s = CAPACITY_REQUESTS_PER_S * load_factor / ENTRIES
    processes = []
    for seed, entry in enumerate(fleet.entry_addresses.values(), 7):
        folder = fleet.folder / f"load-{seed}"
        folder.mkdir()
        path = folder / "plan.yaml"
        path.write_text(
            yaml.safe_dump(
                build_load_plan(workload, entry, seed, requests_per_s, verdict_share)
            )
        )
        command = [sys.executable, "-m", "jasminewalk", "load", str(path)]
        command += ["--out", str(folder)]
        output = (folder / "output").open("w")
        processes.append((folder, subprocess.Popen(command, stdout=output)))
    for _, process in processes:
        process.wait()
    return [json.loads((folder / "result.json").read_text()) for folder, _ in processes]


def print_results(results):
    """Print the totals over all load processes and the latencies of each."""
    due = sum(
        kind["due"] for load_result in results for kind in load_result["kinds"].values()
    )
    in_time = sum(
        kind["in_time"]
        for load_result in results
        for kind in load_result["kinds"].values()
    )
    duration_s = WARMUP_S + MEASURED_S
    print(f"due {due / duration_s:.1f}/s, in time {in_time / duration_s:.1f}/s")
    print(f"in time {in_time / due:.3f} of what was due")
    for name in results[0]["kinds"]:
        for result in results:
            kind = result["kinds"][name]
            first_ms, between_ms = kind["first_token_ms"], kind["between_tokens_ms"]
            print(
                f"{name}: due {kind['due']}, in time {kind['in_time']}, "
                f"refused {kind['refused']}, failed {kind['failed']}, "
                f"first token ms {first_ms}, between tokens ms {between_ms}"
            )


def main(load_factor, verdict_share):
    """Start the fleet, send the load and print the results."""
    workload = yaml.safe_load(WORKLOAD_PATH.read_text(encoding="utf-8"))
    configure_fleet(workload)
    with tempfile.TemporaryDirectory() as folder:
        fleet = DirectFleet(Path(folder))
        try:
            start_fleet(fleet, workload)
            print_results(send_load(fleet, workload, load_factor, verdict_share))
        finally:
            fleet.stop()


if __name__ == "__main__":
    main(float(sys.argv[1]), float(sys.argv[2]))
