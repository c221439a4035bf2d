"""Which software version of a service's engines begins a stream, by the stream's id.

While several versions serve, each gets a share of the new streams. Which one a stream
gets follows from the id of the attempt that begins it and from the shares, so that any
gateway that knows the shares can tell later, also if it was started after the stream.
"""

import math
from collections.abc import Mapping

import attrs
import xxhash

__all__ = [
    "MAX_SHARES",
    "SUPERSEDED_S",
    "VersionShares",
    "choose_version",
    "compute_stream_key",
]

# Seconds for which a stream may have begun by shares that were superseded: the longest
# life of a stream, and the time until all gateways have read the new shares.
SUPERSEDED_S = 20.0
# Change of a version's share of the engines from which new shares are written.
MIN_SHARE_CHANGE = 0.15
# Seconds between two changes of the shares of a service.
MIN_CHANGE_INTERVAL_S = 1.0
# Maximum number of shares of a service that hold or were superseded lately.
MAX_SHARES = 20
KEY_RANGE = 2.0**64

# Engines by version, as whole numbers.
Shares = Mapping[str, int]


def compute_stream_key(request_id: str) -> int:
    """Return a 64-bit hash of the id of the attempt that began a stream.

    :param request_id: id of the attempt.
    """
    return xxhash.xxh3_64_intdigest(request_id.encode())


def choose_version(key: int, shares: Shares) -> str:
    """Return the version at which a stream begins, or an empty string if there is none.

    Each version gets streams in proportion to its engines. When the shares change, only
    streams of the versions whose share rises get another one.

    :param key: hash of the id of the attempt that begins the stream.
    :param shares: engines by version.
    """
    if len(shares) < 2:
        return next(iter(shares), "")
    return max(sorted(shares), key=lambda version: _score(key, version, shares))


def _score(key: int, version: str, shares: Shares) -> float:
    digest = xxhash.xxh3_64_intdigest(f"{key} {version}".encode())
    return shares[version] / -math.log((digest + 0.5) / KEY_RANGE)


@attrs.define
class _ServiceShares:
    """Shares of one service, the present ones first.

    :param held: shares by which streams that still run may have begun.
    :param stored: shares in the store; empty if it has none.
    :param changed_at: monotonic time of the last change of ``held``.
    :param expected: shares that are about to replace the present ones, if any.
    """

    held: list[Shares] = attrs.field(factory=list)
    stored: list[Shares] = attrs.field(factory=list)
    changed_at: float = float("-inf")
    expected: Shares | None = None


class VersionShares:
    """Shares of the versions of each service, as far as this gateway knows them."""

    def __init__(self) -> None:
        self.services: dict[str, _ServiceShares] = {}
        self.former_gateway_at = float("-inf")

    def record_former_gateway(self, now: float) -> None:
        """Record that there is a gateway that begins streams at any version.

        :param now: current monotonic time in seconds.
        """
        self.former_gateway_at = now

    def apply(self, now: float, service: str, stored: list[Shares]) -> bool:
        """Apply shares that the store has; return whether they changed what holds.

        :param now: current monotonic time in seconds.
        :param service: name of the service.
        :param stored: the present shares first, then those superseded lately.
        """
        known = self.services.setdefault(service, _ServiceShares())
        known.stored = stored
        present = known.held[:1]
        if stored[:1] == present and len(stored) <= len(known.held):
            # The writer has waited until no stream of the others can be left.
            known.held = stored
            return False
        held = list(stored)
        if present and present[0] not in stored:
            # A store that came back from an older copy has lost what still holds.
            held += [shares for shares in known.held if shares not in stored]
        if held == known.held:
            return False
        known.held, known.changed_at = held[:MAX_SHARES], now
        return True

    def forget_stored(self) -> None:
        """Record that the store may have lost all shares; they hold nevertheless."""
        for known in self.services.values():
            known.stored = []

    def list_versions(self, service: str) -> set[str]:
        """Return the versions that may have begun streams of a service.

        :param service: name of the service.
        """
        known = self.services.get(service, _ServiceShares())
        return {version for shares in known.held for version in shares}

    def choose(self, service: str, key: int) -> str:
        """Return the version at which a new stream is to begin; empty for any.

        :param service: name of the service.
        :param key: hash of the id of the attempt that begins the stream.
        """
        known = self.services.get(service)
        if known is None or not known.held:
            return ""
        return choose_version(key, known.held[0])

    def derive(self, now: float, service: str, key: int | None) -> str:
        """Return the version that began a stream, or an empty string if it is unknown.

        It is known if all shares by which the stream may have begun agree.

        :param now: current monotonic time in seconds.
        :param service: name of the service.
        :param key: hash of the id of the attempt that began the stream; None if the
            caller does not name it.
        """
        known = self.services.get(service)
        if known is None or not known.held:
            return ""
        return self._find_agreed(now, key, self._list_live(now, known))

    def are_changing(self, now: float, service: str) -> bool:
        """Return whether streams may run that began by shares now superseded.

        :param now: current monotonic time in seconds.
        :param service: name of the service.
        """
        known = self.services.get(service)
        return known is not None and len(self._list_live(now, known)) > 1

    def is_derivable(self, now: float, service: str, key: int, version: str) -> bool:
        """Return whether any gateway can derive the version of a stream that runs now.

        A gateway that starts later holds all shares that the store has. Those that are
        about to replace the present ones count, too.

        :param now: current monotonic time in seconds.
        :param service: name of the service.
        :param key: hash of the id of the attempt that began the stream.
        :param version: version that began it.
        """
        known = self.services.get(service)
        if known is None or not known.held:
            return False
        shares = [*known.held, *([known.expected] if known.expected else [])]
        return self._find_agreed(now, key, shares) == version

    def expect(self, now: float, service: str, engines: Shares) -> bool:
        """Compare the shares with the engines; return whether new shares are expected.

        :param now: current monotonic time in seconds.
        :param service: name of the service.
        :param engines: usable engines of the service by version.
        """
        known = self.services.get(service)
        if known is None or not known.held:
            return False
        differs = bool(engines) and _differ(engines, known.held[0])
        expected = dict(engines) if differs else None
        is_new = expected is not None and expected != known.expected
        known.expected = expected
        return is_new

    def has_stored(self, service: str) -> bool:
        """Return whether the store has shares of a service, as far as this one knows.

        :param service: name of the service.
        """
        known = self.services.get(service)
        return known is not None and bool(known.stored)

    def propose(self, now: float, service: str, engines: Shares) -> list[Shares] | None:
        """Return the shares that the store should have; None if it has the right ones.

        :param now: current monotonic time in seconds.
        :param service: name of the service.
        :param engines: usable engines of the service by version.
        """
        known = self.services.get(service, _ServiceShares())
        live = self._list_live(now, known)
        if not engines:
            return None
        if not live or _differ(engines, live[0]):
            recent = now - known.changed_at < MIN_CHANGE_INTERVAL_S
            if recent or len(live) >= MAX_SHARES:
                return None
            return [dict(engines), *live]
        if known.stored != known.held or len(live) < len(known.held):
            return live
        return None

    def _find_agreed(self, now: float, key: int | None, held: list[Shares]) -> str:
        """Return the version that all shares agree on; empty if they do not."""
        if key is None or now - self.former_gateway_at < SUPERSEDED_S:
            versions = {version for shares in held for version in shares}
        else:
            versions = {choose_version(key, shares) for shares in held}
        return versions.pop() if len(versions) == 1 else ""

    def _list_live(self, now: float, known: _ServiceShares) -> list[Shares]:
        is_settled = now - known.changed_at >= SUPERSEDED_S
        return known.held[:1] if is_settled else known.held


def _differ(engines: Shares, shares: Shares) -> bool:
    if engines.keys() != shares.keys():
        return True
    total, former_total = sum(engines.values()), sum(shares.values())
    return any(
        abs(engines[version] / total - shares[version] / former_total)
        >= MIN_SHARE_CHANGE
        for version in engines
    )
