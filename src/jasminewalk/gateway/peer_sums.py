"""Sums of what the other gateways announced of one engine, kept as they change."""

import attrs

__all__ = ["Load", "PeerLoads", "PeerSpeeds"]

MS_PER_S = 1e3


@attrs.define
class Load:
    """Load that one gateway puts on an engine.

    :param requests: requests in flight.
    :param prefill_s: prefill left for them, in seconds on an engine of speed 1.
    """

    requests: int = 0
    prefill_s: float = 0.0


@attrs.define
class PeerLoads:
    """Loads of other gateways on an engine, by name of the gateway.

    The sums are whole numbers, so they return to 0 exactly.

    >>> loads = PeerLoads()
    >>> loads["front-1"], loads["front-2"] = Load(2, 0.5), Load(1, 0.25)
    >>> loads["front-1"] = Load(1, 0.1)
    >>> loads.requests, loads.prefill_s
    (2, 0.35)
    >>> loads.remove("front-2")
    >>> loads.requests, loads.prefill_s
    (1, 0.1)

    :param announced: requests and milliseconds of prefill of each gateway.
    :param requests: requests in flight from all of them.
    :param prefill_ms: prefill left for them, in milliseconds on an engine of speed 1.
    """

    announced: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    requests: int = 0
    prefill_ms: int = 0

    @property
    def prefill_s(self) -> float:
        """Prefill left, in seconds on an engine of speed 1."""
        return self.prefill_ms / MS_PER_S

    def __setitem__(self, node: str, load: Load) -> None:
        self.replace(node, load.requests, round(load.prefill_s * MS_PER_S))

    def replace(self, node: str, requests: int, prefill_ms: int) -> None:
        """Set the load of a gateway.

        :param node: name of its instance.
        :param requests: requests in flight.
        :param prefill_ms: prefill left, in milliseconds on an engine of speed 1.
        """
        old_requests, old_prefill_ms = self.announced.get(node, (0, 0))
        self.requests += requests - old_requests
        self.prefill_ms += prefill_ms - old_prefill_ms
        self.announced[node] = requests, prefill_ms

    def remove(self, node: str) -> None:
        """Remove the load of a gateway, if there is any.

        :param node: name of its instance.
        """
        if node in self.announced:
            self.replace(node, 0, 0)
            del self.announced[node]


@attrs.define
class PeerSpeeds:
    """Speeds of an engine that other gateways measured, by name of the gateway.

    :param announced: hundredths of the speed and number of samples of each gateway.
    :param samples: samples of all of them.
    :param weighted_hundredths: sum of the speeds, each times its samples.
    """

    announced: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    samples: int = 0
    weighted_hundredths: int = 0

    def replace(self, node: str, hundredths: int, samples: int) -> None:
        """Set the speed that a gateway measured.

        :param node: name of its instance.
        :param hundredths: hundredths of the speed.
        :param samples: number of its samples.
        """
        old_hundredths, old_samples = self.announced.get(node, (0, 0))
        self.samples += samples - old_samples
        self.weighted_hundredths += hundredths * samples - old_hundredths * old_samples
        self.announced[node] = hundredths, samples

    def remove(self, node: str) -> None:
        """Remove the speed that a gateway measured, if there is any.

        :param node: name of its instance.
        """
        if node in self.announced:
            self.replace(node, 0, 0)
            del self.announced[node]
