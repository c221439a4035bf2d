"""Shapes of the exchange between gateways, compared in a simulation without a network.

Each gateway has a state that changes all the time. The simulation follows how old the
newest news of each gateway is at each other one, what is sent, and how much of it
between failure domains, for the exchange as it is and for shapes that could replace it.
A design aid: it knows nothing of engines, and its sizes are those named below.
"""

from abc import ABC, abstractmethod

import attrs
import numpy as np

# Bytes of a gateway's own state (as benchmarks/gateway_exchange.py measures it, about
# 40 engines with load), and for each engine in a sum of several gateways: numbers as
# they are, or in steps that fit two bytes.
STATE_BYTES = 140
SUM_BYTES_PER_ENGINE = 6
ROUNDED_BYTES_PER_ENGINE = 2
# Engines for each gateway, of which a sum has all that any of its gateways uses.
ENGINES_PER_GATEWAY = 0.92
DOMAINS = 5
STEP_S = 0.01
LENGTH_S = 30.0
WARM_UP_S = 5.0
# Time in which one gateway that carries others' news is frozen.
FROZEN_S = (15.0, 18.0)
# The exchange as it is: interval, and gateways from which it grows.
MESH_INTERVAL_S = 0.1
MESH_FULL_RATE = 30
SILENCE_S = 1.5
SIZES = (68, 300, 360)
LOSSES = (0.05, 0.10)


class Shape(ABC):
    """One way to spread news.

    :param count: number of gateways.
    :param loss: share of messages that are lost.
    """

    name = ""

    def __init__(self, count: int, loss: float) -> None:
        self.count = count
        self.loss = loss
        self.rng = np.random.default_rng(1)
        self.domain = np.arange(count) % DOMAINS
        self.known_at = np.zeros((count, count))
        self.heard_at = np.full((count, count), -1.0)
        self.sent_bytes = np.zeros(count)
        self.received = np.zeros(count)
        self.crossing_bytes = 0.0
        self.frozen = -1
        self.now = 0.0

    @abstractmethod
    def step(self, number: int) -> None:
        """Send what is due.

        :param number: number of the step.
        """

    @abstractmethod
    def get_carrier(self) -> int:
        """Return a gateway that carries news of others, to be frozen."""

    def is_due(self, number: int, gateway: int, interval_s: float) -> bool:
        """Return whether a gateway sends in a step; all at different times."""
        period = max(1, round(interval_s / STEP_S))
        return gateway != self.frozen and (number + gateway * 7) % period == 0

    def send(self, sender: int, receivers: np.ndarray, size: float, about) -> None:
        """Send what a gateway knows about some gateways.

        :param sender: the gateway.
        :param receivers: gateways that it sends to.
        :param size: bytes of one message.
        :param about: gateways whose news it has.
        """
        self.known_at[sender, sender] = self.now
        self.sent_bytes[sender] += size * len(receivers)
        crossing = self.domain[receivers] != self.domain[sender]
        self.crossing_bytes += size * crossing.sum()
        arrives = self.rng.random(len(receivers)) >= self.loss
        reached = receivers[arrives & (receivers != self.frozen)]
        self.received[reached] += 1
        self.heard_at[reached, sender] = self.now
        rows = np.ix_(reached, np.atleast_1d(about))
        news = self.known_at[sender, np.atleast_1d(about)]
        self.known_at[rows] = np.maximum(self.known_at[rows], news)

    def count_engines(self) -> float:
        """Return the engines that a sum of many gateways has."""
        return self.count * ENGINES_PER_GATEWAY


class Mesh(Shape):
    """Each gateway sends its state to all others; less often, the more there are."""

    name = "all to all (as it is)"

    @property
    def interval_s(self) -> float:
        """Seconds between two messages of a gateway."""
        return MESH_INTERVAL_S * max(1.0, self.count / MESH_FULL_RATE)

    def step(self, number: int) -> None:
        """Send the own state to all."""
        for sender in range(self.count):
            if self.is_due(number, sender, self.interval_s):
                others = np.delete(np.arange(self.count), sender)
                self.send(sender, others, STATE_BYTES, sender)

    def get_carrier(self) -> int:
        """Return any gateway: none carries news of others."""
        return 0


class Relays(Shape):
    """Own states within a domain; between domains sums, by two relays of each."""

    name = "relays with sums"
    OWN_INTERVAL_S = 0.25
    SUM_INTERVAL_S = 0.15
    RELAYS = 2

    def __init__(self, count: int, loss: float) -> None:
        super().__init__(count, loss)
        self.members = [np.flatnonzero(self.domain == d) for d in range(DOMAINS)]
        self.relays = [members[: self.RELAYS] for members in self.members]

    def step(self, number: int) -> None:
        """Send the own state at home, and sums between relays and from them."""
        sum_bytes = SUM_BYTES_PER_ENGINE * self.count_engines()
        for sender in range(self.count):
            domain = self.domain[sender]
            home = self.members[domain]
            if self.is_due(number, sender, self.OWN_INTERVAL_S):
                self.send(sender, home[home != sender], STATE_BYTES, sender)
            if sender not in self.relays[domain]:
                continue
            if self.is_due(number, sender, self.SUM_INTERVAL_S):
                away = np.concatenate(
                    [self.relays[d] for d in range(DOMAINS) if d != domain]
                )
                self.send(sender, away, sum_bytes, home)
                others = np.flatnonzero(self.domain != domain)
                # What it adds up at home is one sum over all other domains.
                self.send(sender, home[home != sender], sum_bytes, others)

    def get_carrier(self) -> int:
        """Return a relay."""
        return int(self.relays[0][0])


class RelayTrees(Relays):
    """Own states to two relays; totals from each down a tree of its own at home."""

    name = "relays, and a tree at home from each"
    INTERVAL_S = 0.2
    FAN_OUT = 3

    def step(self, number: int) -> None:
        """Send the own state to the relays, sums between them, and totals from them."""
        size = ROUNDED_BYTES_PER_ENGINE * self.count_engines()
        everyone = np.arange(self.count)
        for sender in range(self.count):
            if not self.is_due(number, sender, self.INTERVAL_S):
                continue
            domain = self.domain[sender]
            home, relays = self.members[domain], self.relays[domain]
            self.send(sender, relays[relays != sender], STATE_BYTES, sender)
            if sender not in relays:
                continue
            away = np.concatenate(
                [self.relays[d] for d in range(DOMAINS) if d != domain]
            )
            self.send(sender, away, size, home)
            # Trees of different relays have different inner gateways.
            turn = len(home) // 2 * int(np.flatnonzero(relays == sender)[0])
            order = np.concatenate(([sender], np.roll(home[home != sender], turn)))
            self._pass_on(order, size, everyone)

    def _pass_on(self, order: np.ndarray, size: float, about: np.ndarray) -> None:
        reached = {0}
        for place in range(len(order)):
            first = place * self.FAN_OUT + 1
            children = range(first, min(first + self.FAN_OUT, len(order)))
            if place not in reached or order[place] == self.frozen:
                continue
            for child in children:
                before = self.received[order[child]]
                self.send(int(order[place]), order[[child]], size, about)
                if self.received[order[child]] > before:
                    reached.add(child)


class PushPull(Shape):
    """Each gateway exchanges all that it knows with a few random ones."""

    name = "random subset, push and pull"
    INTERVAL_S = 0.2
    FAN_OUT = 3

    def step(self, number: int) -> None:
        """Exchange states with random gateways; sums would count some twice."""
        size = STATE_BYTES * self.count
        everyone = np.arange(self.count)
        for sender in range(self.count):
            if not self.is_due(number, sender, self.INTERVAL_S):
                continue
            for peer in self.rng.choice(self.count, self.FAN_OUT, replace=False):
                if peer not in (sender, self.frozen):
                    self.send(sender, np.array([peer]), size, everyone)
                    self.send(int(peer), np.array([sender]), size, everyone)

    def get_carrier(self) -> int:
        """Return any gateway."""
        return 0


class Tree(Shape):
    """Sums go up a tree over all gateways, and the total comes down."""

    name = "tree over all"
    INTERVAL_S = 0.1
    FAN_OUT = 8

    def __init__(self, count: int, loss: float) -> None:
        super().__init__(count, loss)
        numbers = np.arange(count)
        self.parent = (numbers - 1) // self.FAN_OUT
        self.below = [self._list_below(number) for number in numbers]

    def _list_below(self, root: int) -> np.ndarray:
        found, level = [root], [root]
        while level:
            first, last = level[0] * self.FAN_OUT + 1, (level[-1] + 1) * self.FAN_OUT
            level = list(range(first, min(last + 1, self.count)))
            found += level
        return np.array(found)

    def step(self, number: int) -> None:
        """Send the sum of the subtree up and the rest of the total down."""
        size = SUM_BYTES_PER_ENGINE * self.count_engines()
        for sender in range(self.count):
            if not self.is_due(number, sender, self.INTERVAL_S):
                continue
            below = self.below[sender]
            if sender:
                self.send(sender, self.parent[[sender]], size, below)
            for child in range(
                sender * self.FAN_OUT + 1,
                min((sender + 1) * self.FAN_OUT + 1, self.count),
            ):
                rest = np.setdiff1d(np.arange(self.count), self.below[child])
                self.send(sender, np.array([child]), size, rest)

    def get_carrier(self) -> int:
        """Return an inner gateway."""
        return 1


@attrs.frozen
class Row:
    """Figures of one shape.

    :param age_s: age of news in seconds that 95 in 100 do not exceed.
    :param frozen_age_s: the same among sound gateways while a carrier is frozen.
    :param sent_kb_s: mean and most KB a second that a gateway sends.
    :param received_per_s: mean and most messages a second that a gateway gets.
    :param crossing_kb_s: KB a second between domains, of all gateways.
    :param silences: neighbours that seem silent, for each gateway and minute.
    """

    age_s: float
    frozen_age_s: float
    sent_kb_s: tuple[float, float]
    received_per_s: tuple[float, float]
    crossing_kb_s: float
    silences: float


def play(shape: Shape) -> Row:
    """Play a shape and return its figures.

    :param shape: the shape, just made.
    """
    ages, frozen_ages, silences = [], [], 0
    silent = np.zeros((shape.count, shape.count), bool)
    for number in range(round(LENGTH_S / STEP_S)):
        shape.now = number * STEP_S
        is_frozen = FROZEN_S[0] <= shape.now < FROZEN_S[1]
        shape.frozen = shape.get_carrier() if is_frozen else -1
        shape.step(number)
        if number % 10 or shape.now < WARM_UP_S:
            continue
        age = shape.now - shape.known_at
        sound = np.arange(shape.count) != shape.get_carrier()
        if is_frozen and shape.now > FROZEN_S[0] + 1.0:
            frozen_ages.append(np.quantile(age[np.ix_(sound, sound)], 0.95))
        elif shape.now < FROZEN_S[0]:
            ages.append(np.quantile(age, 0.95))
            heard = shape.heard_at >= 0
            is_silent = heard & (shape.now - shape.heard_at > SILENCE_S)
            silences += int((is_silent & ~silent).sum())
            silent = is_silent
    judged_min = (FROZEN_S[0] - WARM_UP_S) / 60
    sent, received = shape.sent_bytes / LENGTH_S / 1e3, shape.received / LENGTH_S
    return Row(
        float(np.mean(ages)),
        float(np.max(frozen_ages)),
        (float(sent.mean()), float(sent.max())),
        (float(received.mean()), float(received.max())),
        shape.crossing_bytes / LENGTH_S / 1e3,
        silences / shape.count / judged_min,
    )


def main() -> None:
    """Print a table in Markdown."""
    print(
        "| shape | gateways | loss | news, 95 in 100 | one carrier frozen "
        "| sent KB/s, mean, most | messages in/s, mean, most | KB/s between domains "
        "| false silences a gateway-minute |\n|---|---|---|---|---|---|---|---|---|"
    )
    for shape_class in (Mesh, Relays, RelayTrees, PushPull, Tree):
        for count in SIZES:
            for loss in LOSSES:
                row = play(shape_class(count, loss))
                print(
                    f"| {shape_class.name} | {count} | {loss:.2f} | {row.age_s:.2f} s "
                    f"| {row.frozen_age_s:.2f} s | {row.sent_kb_s[0]:.0f}, "
                    f"{row.sent_kb_s[1]:.0f} | {row.received_per_s[0]:.0f}, "
                    f"{row.received_per_s[1]:.0f} | {row.crossing_kb_s:.0f} "
                    f"| {row.silences:.3f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
