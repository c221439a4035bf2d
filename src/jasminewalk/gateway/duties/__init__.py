"""Duties that one gateway at a time has for all, each under a lease of its own.

``lease_group`` keeps the leases, ``usage_counter`` counts what this gateway served,
``usage_ledger`` adds up what all of them did, and ``usage_reports`` decides what is
reported. ``usage_duty`` is the task that talks to peers, the store and the platform.
"""

from jasminewalk.gateway.duties.lease_group import LeaseGroup
from jasminewalk.gateway.duties.steady_wall_clock import SteadyWallClock
from jasminewalk.gateway.duties.usage_counter import UsageCounter
from jasminewalk.gateway.duties.usage_duty import UsageDuty, create_usage_duty
from jasminewalk.gateway.duties.usage_ledger import UsageLedger
from jasminewalk.gateway.duties.usage_reports import UsageReports

__all__ = [
    "LeaseGroup",
    "SteadyWallClock",
    "UsageCounter",
    "UsageDuty",
    "UsageLedger",
    "UsageReports",
    "create_usage_duty",
]
