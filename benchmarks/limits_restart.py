"""How soon quotas are whole again after all processes were killed, in virtual time.

For tenants of three sizes below their limit: requests asked and refused in each span after the start, and
the part of each limit that the credit server may grant. Run: python -m benchmarks.limits_restart
"""

from dataclasses import dataclass

from barleybarrow.limits.bounds import LimitBounds
from tests.fleet.limits_world import Demand, LimitsSimulation, token_tenant

PROXIES = 11
SLACK_TOKENS = 72_000.0
KILLED_AT_MS, STARTED_AT_MS = 10_000.0, 11_000.0
SPAN_MS = 200.0
SPANS = 8
SEEDS = (1, 2, 3)


@dataclass(frozen=True)
class Case:
    """A tenant's limit, and what it asks for."""

    rate: float  # tokens a second
    per_s: float  # requests
    cost: tuple[float, float]  # tokens of a request, least and most


CASES = (
    Case(436_000.0, 36.0, (2_000.0, 25_000.0)),
    Case(100_000.0, 8.0, (2_000.0, 25_000.0)),
    Case(18_000.0, 5.0, (300.0, 5_000.0)),
)


def restarted(case: Case, seed: int) -> list[tuple[int, int, float]]:
    """Asked, refused and the lent fraction for each span after the start."""
    bounds = LimitBounds(quota_slack=SLACK_TOKENS)
    sim = LimitsSimulation(
        PROXIES, [token_tenant("under", case.rate)], seed=seed, bounds=bounds, durable=True
    )
    sim.add_demand(Demand("under", case.per_s, case.cost, starts_at=4_000.0))
    sim.run(KILLED_AT_MS)
    for name in [*sim.acceptors, *sim.proxies]:
        sim.kill(name)
        sim.schedule(STARTED_AT_MS, "call", "start", name)
    sim.run(STARTED_AT_MS)
    stats, rows = sim.stats["under"], []
    for span in range(1, SPANS + 1):
        requested, refused = stats.requested, stats.refused
        sim.run(STARTED_AT_MS + span * SPAN_MS)
        rows.append((stats.requested - requested, stats.refused - refused, sim.lent_share()))
    return rows


def main() -> None:
    """Print one line a case and seed."""
    for case in CASES:
        for seed in SEEDS:
            rows = restarted(case, seed)
            asked, refused = sum(row[0] for row in rows), sum(row[1] for row in rows)
            spans = " ".join(f"{n}/{no}/{lent:.2f}" for n, no, lent in rows)
            print(f"rate {case.rate:.0f} seed {seed}: asked {asked}, refused {refused}; spans {spans}")


if __name__ == "__main__":
    main()
