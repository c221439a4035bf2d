"""Fair shares of organisations and the retry budget of an entry."""

import math

import attrs

__all__ = ["FairShares", "RetryBudget", "ShareSettings"]

ACCOUNTS_PER_REFRESH = 2000
NEGLIGIBLE_S = 1e-4


@attrs.frozen(kw_only=True)
class ShareSettings:
    """How shares of organisations are measured.

    :param window_s: seconds after which past work counts a third.
    :param refresh_s: seconds between computations of the shares.
    """

    window_s: float = 10.0
    refresh_s: float = 0.5


@attrs.define
class _Account:
    """Work of one organisation, decaying over the window.

    :param weight: share against others.
    :param demand_s: work that arrived, in seconds of an endpoint.
    :param admitted_s: work that was admitted.
    :param updated_s: instant of the last decay.
    """

    weight: float
    demand_s: float = 0.0
    admitted_s: float = 0.0
    updated_s: float = 0.0


class FairShares:
    """Weighted max-min shares of organisations in the work of one pool.

    :param settings: how to measure.
    """

    def __init__(self, settings: ShareSettings) -> None:
        self.settings = settings
        self.accounts: dict[str, _Account] = {}
        self.level_s = math.inf
        self.computed_s = -math.inf

    def arrived(
        self, now_s: float, organisation: str, weight: float, work_s: float
    ) -> None:
        """Count work that arrived.

        :param now_s: current instant in seconds.
        :param organisation: organisation name.
        :param weight: share against others.
        :param work_s: work in seconds of an endpoint.
        """
        account = self.account(now_s, organisation)
        account.weight = weight
        account.demand_s += work_s

    def admitted(self, now_s: float, organisation: str, work_s: float) -> None:
        """Count work that was admitted.

        :param now_s: current instant in seconds.
        :param organisation: organisation name.
        :param work_s: work in seconds of an endpoint.
        """
        self.account(now_s, organisation).admitted_s += work_s

    def account(self, now_s: float, organisation: str) -> _Account:
        """Return the account of an organisation, decayed to now.

        :param now_s: current instant in seconds.
        :param organisation: organisation name.
        """
        account = self.accounts.get(organisation)
        if account is None:
            account = _Account(weight=1.0, updated_s=now_s)
            self.accounts[organisation] = account
            return account
        self.decay(now_s, account)
        return account

    def decay(self, now_s: float, account: _Account) -> None:
        """Let past work count less.

        :param now_s: current instant in seconds.
        :param account: the account.
        """
        elapsed_s = now_s - account.updated_s
        if elapsed_s <= 0.0:
            return
        factor = math.exp(-elapsed_s / self.settings.window_s)
        account.demand_s *= factor
        account.admitted_s *= factor
        account.updated_s = now_s

    def usage(self, now_s: float, organisation: str) -> float:
        """Return admitted work against the fair share; 1 is exactly the share.

        :param now_s: current instant in seconds.
        :param organisation: organisation name.
        """
        rounds = 1 + len(self.accounts) // ACCOUNTS_PER_REFRESH
        if now_s - self.computed_s >= self.settings.refresh_s * rounds:
            self.compute(now_s)
        account = self.account(now_s, organisation)
        if not math.isfinite(self.level_s) or self.level_s <= 0.0:
            return 0.0
        return account.admitted_s / (self.level_s * account.weight)

    def compute(self, now_s: float) -> None:
        """Compute the share per weight at which the admitted work is used up.

        :param now_s: current instant in seconds.
        """
        self.computed_s = now_s
        for name in [*self.accounts]:
            account = self.accounts[name]
            self.decay(now_s, account)
            if account.demand_s < NEGLIGIBLE_S:
                del self.accounts[name]
        accounts = sorted(
            self.accounts.values(), key=lambda item: item.demand_s / item.weight
        )
        left_s = sum(account.admitted_s for account in accounts)
        weights = sum(account.weight for account in accounts)
        self.level_s = math.inf
        for account in accounts:
            level_s = left_s / weights
            if account.demand_s / account.weight >= level_s:
                self.level_s = level_s
                return
            left_s -= account.demand_s
            weights -= account.weight


class RetryBudget:
    """Bound on retries as a fraction of first attempts.

    :param ratio: retries earned by each first attempt.
    :param burst: most retries saved up.
    """

    def __init__(self, ratio: float = 0.2, burst: float = 10.0) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def earn(self) -> None:
        """Count a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take a retry out of the budget; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
