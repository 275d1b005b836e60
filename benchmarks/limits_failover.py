"""What tenants below their quota are refused while the credit server is lost, in virtual time.

The credit server is killed, or goes dark, alone. For tenants of three sizes: requests refused
and asked in each span after that, over several seeds. Run: python -m benchmarks.limits_failover
"""

from barleybarrow.limits.bounds import LimitBounds
from benchmarks.limits_restart import CASES, SLACK_TOKENS, Case
from tests.fleet.limits_world import Demand, LimitsSimulation, token_tenant

FLEETS = ((11, 3), (24, 5))  # proxies, acceptors
LOST_AT_MS = 10_000.0
SPAN_MS, SPANS = 250.0, 8
SEEDS = range(1, 9)


def failed_over(case: Case, seed: int, proxies: int, acceptors: int, dark: bool) -> list[tuple[int, int]]:
    """Asked and refused for each span after the loss; `dark`: the others notice by its silence alone."""
    bounds = LimitBounds(quota_slack=SLACK_TOKENS)
    tenants = [token_tenant("under", case.rate)]
    sim = LimitsSimulation(proxies, tenants, seed=seed, acceptor_count=acceptors, bounds=bounds, durable=True)
    sim.add_demand(Demand("under", case.per_s, case.cost, starts_at=4_000.0))
    sim.run(LOST_AT_MS)
    (credit_server,) = sim.credit_servers()
    if dark:
        sim.cut_off(credit_server)
    else:
        sim.kill(credit_server)
    stats, rows = sim.stats["under"], []
    for span in range(1, SPANS + 1):
        requested, refused = stats.requested, stats.refused
        sim.run(LOST_AT_MS + span * SPAN_MS)
        rows.append((stats.requested - requested, stats.refused - refused))
    return rows


def main() -> None:
    """Print one line a fleet, way of loss and case: sums over the seeds."""
    for proxies, acceptors in FLEETS:
        for dark in (False, True):
            for case in CASES:
                plays = [failed_over(case, seed, proxies, acceptors, dark) for seed in SEEDS]
                sums = [(sum(r[i][0] for r in plays), sum(r[i][1] for r in plays)) for i in range(SPANS)]
                asked, refused = sum(row[0] for row in sums), sum(row[1] for row in sums)
                spans = " ".join(f"{refused}/{asked}" for asked, refused in sums)
                way = "dark" if dark else "killed"
                print(f"{proxies} proxies, {way}, rate {case.rate:.0f}: refused {refused}/{asked}: {spans}")


if __name__ == "__main__":
    main()
