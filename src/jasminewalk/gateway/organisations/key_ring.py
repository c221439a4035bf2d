"""Decide by its key whether a request may run, and which organisation it is from.

The load it answers: each request, before and after it waits, with keys of any number of
organisations that are added and taken away while requests run.
"""

from collections.abc import Iterable

import attrs

from jasminewalk.key_digests import digest_key
from jasminewalk.platform.configuration import Organisation, Route
from jasminewalk.platform.settings import SafetyBounds

__all__ = ["Access", "AccessPolicy", "Denied", "KeyRing"]

# ``Retry-After`` in seconds of a gateway whose configuration may lack the key; another
# gateway may have read it.
STALE_RETRY_AFTER_S = 0.3


class KeyRing:
    """Finds organisations by the digests of their keys.

    :param organisations: organisations of the configuration in force.
    """

    def __init__(self, organisations: Iterable[Organisation]) -> None:
        self.organisations = {
            digest: organisation
            for organisation in organisations
            for digest in organisation.key_digests
        }

    def find(self, digest: str) -> Organisation | None:
        """Return the organisation that holds a key, or None if none does.

        :param digest: digest of the key.
        """
        return self.organisations.get(digest)


@attrs.frozen
class Access:
    """Decision that a request may run.

    :param organisation: organisation that it is from; None if it needs none.
    :param digest: digest of its key; empty if it needs none.
    """

    organisation: Organisation | None = None
    digest: str = ""

    @property
    def name(self) -> str:
        """Name of the organisation; empty if there is none."""
        return self.organisation.name if self.organisation else ""


@attrs.frozen
class Denied:
    """Decision that a request must not run.

    :param reason: reason for the log and the metrics.
    :param retry_after_s: seconds after which it may be sent again; None if its key is
        known to be wrong.
    """

    reason: str
    retry_after_s: float | None = None


@attrs.define
class AccessPolicy:
    """Decides whether requests may run, by the configuration that was read last.

    A gateway that has not heard of the configuration for longer than any change may
    take can't tell an unknown key from a new one, and lets its caller try another
    gateway. Where settings ask for it, it then also takes no key at all, as any may
    have been taken away.

    :param fresh_s: seconds for which what was read holds without another read.
    :param closes_after_s: seconds without a read after which no key is taken; None if
        known ones always are.
    :param key_ring: keys of the configuration in force; None if callers need none.
    """

    fresh_s: float
    closes_after_s: float | None = None
    key_ring: KeyRing | None = None

    @classmethod
    def from_bounds(cls, bounds: SafetyBounds) -> "AccessPolicy":
        """Build the policy that settings ask for.

        :param bounds: bounds of the settings.
        """
        policy = cls(bounds.configuration_s)
        policy.use_bounds(bounds)
        return policy

    def use_bounds(self, bounds: SafetyBounds) -> None:
        """Apply the bounds of changed settings.

        :param bounds: bounds of the settings.
        """
        self.fresh_s = bounds.configuration_s
        self.closes_after_s = (
            bounds.key_confirmation_s if bounds.needs_key_confirmation else None
        )

    def use(self, organisations: Iterable[Organisation] | None) -> None:
        """Use the keys of another configuration.

        :param organisations: its organisations; None if callers need no keys.
        """
        self.key_ring = None if organisations is None else KeyRing(organisations)

    def decide(
        self,
        route: Route,
        credential: str,
        unread_s: float,
        *,
        is_behind: bool = False,
    ) -> Access | Denied:
        """Decide whether a request that has just arrived may run.

        :param route: its route.
        :param credential: its key; empty if it has none.
        :param unread_s: seconds since the configuration was last read by any gateway
            that this one hears.
        :param is_behind: whether another gateway has a newer configuration.
        """
        if self.key_ring is None:
            return Access()
        digest = digest_key(credential) if credential else ""
        organisation = self.key_ring.find(digest)
        if organisation is None and route.public:
            return Access()
        if organisation is None:
            if credential and (is_behind or unread_s > self.fresh_s):
                return Denied("key may be new", STALE_RETRY_AFTER_S)
            return Denied("unknown key" if credential else "no key")
        if not route.public and self._is_closed(unread_s):
            return Denied("keys not confirmed", STALE_RETRY_AFTER_S)
        return Access(organisation, digest)

    def still_holds(self, access: Access, unread_s: float) -> bool:
        """Return whether a request that was let in, and waited, may still run.

        :param access: decision from when it arrived.
        :param unread_s: seconds since the configuration was last read.
        """
        if not access.digest or self.key_ring is None:
            return True
        current = self.key_ring.find(access.digest)
        return (
            current is not None
            and current.name == access.name
            and not self._is_closed(unread_s)
        )

    def _is_closed(self, unread_s: float) -> bool:
        return self.closes_after_s is not None and unread_s > self.closes_after_s
