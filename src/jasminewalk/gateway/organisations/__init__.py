"""Organisations: whose key a caller has, what it has used, and who goes first."""

from jasminewalk.gateway.organisations.fair_shares import FairShares
from jasminewalk.gateway.organisations.key_ring import (
    Access,
    AccessPolicy,
    Denied,
    KeyRing,
)

__all__ = ["Access", "AccessPolicy", "Denied", "FairShares", "KeyRing"]
