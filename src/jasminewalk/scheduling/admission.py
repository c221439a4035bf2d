"""Fair shares of organisations and the retry budget of an entry."""

import math

import attrs

__all__ = ["FairShares", "RetryBudget", "ShareSettings"]

ACCOUNTS_PER_REFRESH_INTERVAL = 2000
MIN_DEMAND_S = 1e-4


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
        self.share_per_weight_s = math.inf
        self.computed_s = -math.inf

    def record_arrival(
        self, now_s: float, organisation: str, weight: float, work_s: float
    ) -> None:
        """Count work that arrived.

        :param now_s: current instant in seconds.
        :param organisation: organisation name.
        :param weight: share against others.
        :param work_s: work in seconds of an endpoint.
        """
        account = self.get_account(now_s, organisation)
        account.weight = weight
        account.demand_s += work_s

    def record_admission(self, now_s: float, organisation: str, work_s: float) -> None:
        """Count work that was admitted.

        :param now_s: current instant in seconds.
        :param organisation: organisation name.
        :param work_s: work in seconds of an endpoint.
        """
        self.get_account(now_s, organisation).admitted_s += work_s

    def get_account(self, now_s: float, organisation: str) -> _Account:
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

    def compute_usage(self, now_s: float, organisation: str) -> float:
        """Return admitted work against the fair share; 1 is exactly the share.

        :param now_s: current instant in seconds.
        :param organisation: organisation name.
        """
        interval_factor = 1 + len(self.accounts) // ACCOUNTS_PER_REFRESH_INTERVAL
        if now_s - self.computed_s >= self.settings.refresh_s * interval_factor:
            self.compute_shares(now_s)
        account = self.get_account(now_s, organisation)
        if not math.isfinite(self.share_per_weight_s) or self.share_per_weight_s <= 0.0:
            return 0.0
        return account.admitted_s / (self.share_per_weight_s * account.weight)

    def compute_shares(self, now_s: float) -> None:
        """Compute the share per weight at which the admitted work is used up.

        :param now_s: current instant in seconds.
        """
        self.computed_s = now_s
        for name in [*self.accounts]:
            account = self.accounts[name]
            self.decay(now_s, account)
            if account.demand_s < MIN_DEMAND_S:
                del self.accounts[name]
        accounts = sorted(
            self.accounts.values(),
            key=lambda account: account.demand_s / account.weight,
        )
        remaining_s = sum(account.admitted_s for account in accounts)
        remaining_weight = sum(account.weight for account in accounts)
        self.share_per_weight_s = math.inf
        for account in accounts:
            share_per_weight_s = remaining_s / remaining_weight
            if account.demand_s / account.weight >= share_per_weight_s:
                self.share_per_weight_s = share_per_weight_s
                return
            remaining_s -= account.demand_s
            remaining_weight -= account.weight


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
