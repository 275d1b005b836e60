"""The bounds that the rules set on quotas and retries, and what each part of the limits may use of them.

Pure arithmetic. Rates are a second, times milliseconds unless a name says otherwise.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LimitBounds:
    """Bounds of the deployment, as in the settings file."""

    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack: float = 0.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_budget_min: float = 60.0
