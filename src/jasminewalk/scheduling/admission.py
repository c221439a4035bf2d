"""Fair shares of organisations and the retry budget of an entry."""

import math

import attrs

__all__ = ["FairShares", "RetryBudget", "ShareSettings"]

ACCOUNTS_PER_REFRESH_INTERVAL = 2000
MIN_DEMAND_S = 1e-4


@attrs.frozen(kw_only=True)
class ShareSettings:
    """Settings for the measurement of organisations' shares.

    :param window_s: seconds after which past work counts for about a third (the time
        constant of its exponential decay).
    :param refresh_s: seconds between computations of the shares.
    """

    window_s: float = 10.0
    refresh_s: float = 0.5


@attrs.define
class _Account:
    """Work of one organisation, with older work decaying exponentially.

    :param weight: weight of the organisation's share.
    :param demand_s: work that arrived, in seconds of endpoint time.
    :param admitted_s: work that was admitted, in seconds of endpoint time.
    :param updated_s: time of the last decay in seconds.
    """

    weight: float
    demand_s: float = 0.0
    admitted_s: float = 0.0
    updated_s: float = 0.0


class FairShares:
    """Weighted max-min fair shares of organisations in the work of one pool.

    :param settings: measurement settings.
    """

    def __init__(self, settings: ShareSettings) -> None:
        self.settings = settings
        self.accounts: dict[str, _Account] = {}
        self.share_per_weight_s = math.inf
        self.computed_s = -math.inf

    def record_arrival(
        self, now_s: float, organisation: str, weight: float, work_s: float
    ) -> None:
        """Record work that arrived.

        :param now_s: current time in seconds.
        :param organisation: organisation name.
        :param weight: weight of the organisation's share.
        :param work_s: work in seconds of endpoint time.
        """
        account = self.get_account(now_s, organisation)
        account.weight = weight
        account.demand_s += work_s

    def record_admission(self, now_s: float, organisation: str, work_s: float) -> None:
        """Record work that was admitted.

        :param now_s: current time in seconds.
        :param organisation: organisation name.
        :param work_s: work in seconds of endpoint time.
        """
        self.get_account(now_s, organisation).admitted_s += work_s

    def get_account(self, now_s: float, organisation: str) -> _Account:
        """Return the account of an organisation, decayed to the current time.

        :param now_s: current time in seconds.
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
        """Decay the work of an account.

        :param now_s: current time in seconds.
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
        """Return the ratio of an organisation's admitted work to its fair share.

        The ratio is 0 while the share is infinite. With many organisations the shares
        are computed less often, which limits the cost.

        :param now_s: current time in seconds.
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
        """Compute the fair share per unit of weight.

        The shares divide up all admitted work. Organisations that ask for less than
        their share leave the rest to the others. The share is infinite if all of them
        ask for less.

        :param now_s: current time in seconds.
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
    """Limits retries to a fraction of first attempts.

    :param ratio: retries earned by each first attempt.
    :param burst: maximum number of unused retries.
    """

    def __init__(self, ratio: float = 0.2, burst: float = 10.0) -> None:
        self.ratio = ratio
        self.burst = burst
        self.available_retries = burst

    def record_request(self) -> None:
        """Add the retries earned by a first attempt."""
        self.available_retries = min(self.burst, self.available_retries + self.ratio)

    def try_take(self) -> bool:
        """Spend one retry of the budget; return whether one was left."""
        if self.available_retries < 1.0:
            return False
        self.available_retries -= 1.0
        return True
