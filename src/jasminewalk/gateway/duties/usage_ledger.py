"""What all gateways have counted, as one of them knows it."""

from collections.abc import Collection, Iterable, Mapping

import attrs
import msgspec

from jasminewalk.decoding import Count, Number
from jasminewalk.gateway.duties.usage_counter import KEPT_WINDOWS

__all__ = ["Source", "UsageLedger", "WindowCounts"]

# Incarnations of gateways that are remembered; the oldest ones are forgotten first.
MAX_SOURCES = 2_000


class WindowCounts(msgspec.Struct, array_like=True, frozen=True):
    """Counts of one window at one incarnation of a gateway.

    :param window: number of the window.
    :param is_final: whether nothing more will be counted in it.
    :param counts: requests by the name of the organisation.
    """

    window: Number
    is_final: bool
    counts: dict[str, Count]


@attrs.define
class Source:
    """One incarnation of a gateway.

    :param counts: requests by organisation, by window.
    :param final_window: highest window of which it said that it is final.
    """

    counts: dict[int, dict[str, int]] = attrs.field(factory=dict)
    final_window: int = -1


class UsageLedger:
    """Adds up the counts of all incarnations of gateways.

    Counts of one incarnation only grow, so messages that are lost, late or repeated do
    no harm: the highest count holds.
    """

    def __init__(self) -> None:
        self.sources: dict[tuple[str, int], Source] = {}

    def apply(
        self, node: str, started_ms: int, windows: Iterable[WindowCounts]
    ) -> None:
        """Record what an incarnation of a gateway has counted.

        :param node: name of its instance.
        :param started_ms: Unix time of its start in milliseconds.
        :param windows: its counts.
        """
        key = node, started_ms
        source = self.sources.get(key)
        if source is None:
            while len(self.sources) >= MAX_SOURCES:
                del self.sources[next(iter(self.sources))]
            source = self.sources[key] = Source()
        for reported in windows:
            known = source.counts.setdefault(reported.window, {})
            for name, count in reported.counts.items():
                known[name] = max(count, known.get(name, 0))
            if reported.is_final:
                source.final_window = max(source.final_window, reported.window)
        for window in sorted(source.counts)[:-KEPT_WINDOWS]:
            del source.counts[window]

    def add_up(self, window: int) -> dict[str, int]:
        """Return the requests of each organisation in a window, as far as known.

        :param window: number of the window.
        """
        total: dict[str, int] = {}
        for source in self.sources.values():
            for name, count in source.counts.get(window, {}).items():
                total[name] = total.get(name, 0) + count
        return total

    def is_complete(self, window: int, nodes: Mapping[str, int]) -> bool:
        """Return whether all live gateways have said all that they counted.

        :param window: number of the window.
        :param nodes: start of each live gateway in Unix milliseconds, by its name.
        """
        return all(
            key in self.sources and self.sources[key].final_window >= window
            for key in nodes.items()
        )

    def list_rows(
        self, windows: Collection[int]
    ) -> list[tuple[str, int, list[WindowCounts]]]:
        """Return the counts of each source in some windows, to be kept elsewhere.

        :param windows: numbers of the windows.
        """
        rows = []
        for (node, started_ms), source in self.sources.items():
            counts = [
                WindowCounts(window, source.final_window >= window, counts)
                for window, counts in source.counts.items()
                if window in windows and counts
            ]
            if counts:
                rows.append((node, started_ms, counts))
        return rows
