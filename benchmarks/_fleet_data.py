"""Synthetic instance lists, load reports and configurations for the benchmarks."""

import json
from collections.abc import Iterator

from jasminewalk.generated_messages import LoadReport
from jasminewalk.generated_records import ConfigurationRecord
from jasminewalk.generated_requests import Instance
from jasminewalk.generated_settings import EntrySettings, LogSettings, PeerSettings
from jasminewalk.transport.codec import encode_record
from jasminewalk.types import RequestProfile

__all__ = [
    "ENTRY_SETTINGS",
    "SHARED_KEY",
    "build_instances",
    "build_profile",
    "build_reports",
    "generate_organisation_records",
]

POOL_COUNT = 19
FAILURE_DOMAIN_COUNT = 19
SHARED_KEY = "benchmark-shared-key-0123456789"

ENTRY_SETTINGS = EntrySettings(
    name="entry-1",
    failure_domain="domain-1",
    listen="127.0.0.1:0",
    log=LogSettings(address="127.0.0.1:1"),
    instances_address="127.0.0.1:1",
    peers=PeerSettings(shared_key=SHARED_KEY),
)

TEMPLATE = {
    "versions": {
        "1": {
            "parameters": {
                "region": {"type": "string", "required": True},
                "weight": {"type": "number", "required": True},
                "seats": {"type": "integer", "required": True},
            },
            "organisation": {
                "weight": "${weight}",
                "failure_domains": ["${region}-a", "${region}-b"],
                "classes": {
                    "verdict": {"deadline_s": 20, "first_token_s": 1.4},
                    "helper": {"deadline_s": 5, "priority": 1},
                    "booking": {"deadline_s": 10},
                },
                "models": {
                    "tutor": {"pool": "pool-1", "request_class": "verdict"},
                    "helper": {"pool": "pool-2", "request_class": "helper"},
                },
                "services": {
                    "enrolment": {
                        "pool": "pool-3",
                        "request_class": "booking",
                        "repeatable": ["GET /"],
                    }
                },
            },
        }
    }
}


def build_organisation_document(number: int) -> dict[str, object]:
    """Build the configuration document of one organisation.

    :param number: number of the organisation.
    """
    return {
        "template": "school",
        "version": 1,
        "parameters": {
            "region": f"region-{number % 5}",
            "weight": 1.0 + number % 3,
            "seats": number % 40,
        },
    }


def generate_organisation_records(count: int) -> Iterator[bytes]:
    """Yield the encoded log records of a template and its organisations.

    :param count: number of organisations.
    """
    yield encode_configuration_record("template/school", TEMPLATE, 0)
    for number in range(count):
        subject = f"organisation/escuela-{number:05d}"
        yield encode_configuration_record(
            subject, build_organisation_document(number), number + 1
        )


def encode_configuration_record(
    subject: str, document: object, number: int, base_revision: int = 0
) -> bytes:
    """Encode the log record of one configuration change.

    :param subject: subject that changes.
    :param document: new document of the subject.
    :param number: number that makes the record identifier unique.
    :param base_revision: revision that the change is based on.
    """
    return encode_record(
        ConfigurationRecord(
            record_id=f"{number:024x}",
            subject=subject,
            base_revision=base_revision,
            document=json.dumps(document, separators=(",", ":")),
            author="operator",
            reason="benchmark",
        )
    )


def build_instances(count: int, pools: int = POOL_COUNT) -> list[Instance]:
    """Build the rows of an instance list.

    :param count: number of endpoints.
    :param pools: number of pools that the endpoints are spread over.
    """
    return [
        Instance(
            name=f"engine-{number:05d}",
            kind="engine",
            address=f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:8000",
            control_address=f"10.1.{number // 256 % 256}.{number % 256}:8001",
            pool=f"pool-{number % pools}",
            failure_domain=f"domain-{number % FAILURE_DOMAIN_COUNT}",
            state="live",
        )
        for number in range(count)
    ]


def build_reports(
    count: int, pools: int = POOL_COUNT, sequence: int = 1
) -> list[LoadReport]:
    """Build one load report of each endpoint.

    :param count: number of endpoints.
    :param pools: number of pools that the endpoints are spread over.
    :param sequence: sequence number of the reports.
    """
    return [
        LoadReport(
            endpoint=row.name,
            incarnation=f"{number:016x}",
            sequence=sequence,
            kind="engine",
            pool=row.pool,
            failure_domain=row.failure_domain,
            address=row.address,
            state="live",
            models=["tutor", "helper"],
            queued=number % 5,
            queued_prefill_tokens=number % 7 * 1000,
            running=number % 32,
            decode_tokens_left=number % 32 * 100,
            max_batch=32,
            prefill_tokens_per_s=8000.0 + number % 3 * 1000,
            decode_tokens_per_s=60.0,
            kv_used=number % 10 / 10,
            report_age_s=0.25,
            revision=12345,
            completed=1000 + sequence,
        )
        for number, row in enumerate(build_instances(count, pools))
    ]


def build_profile(number: int, pool: str) -> RequestProfile:
    """Build the profile of a request to a pool.

    :param number: number that makes the request unique.
    :param pool: pool name.
    """
    return RequestProfile(
        request_id=f"request-{number}",
        organisation=f"escuela-{number % 50:05d}",
        request_class="verdict",
        pool=pool,
        model="tutor",
        prompt_tokens=3000,
        expected_tokens=200,
        max_tokens=400,
        prefix_hashes=tuple(range(number % 20 * 100, number % 20 * 100 + 46)),
        deadline_s=1e9,
        first_token_deadline_s=1e9,
    )
