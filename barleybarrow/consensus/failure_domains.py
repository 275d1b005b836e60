"""Commit rule for deployments that must survive the loss of whole failure domains.

Pure functions. A majority of the voters may be in a single zone or region, for example right after lost
voters were replaced. Acknowledged entries must survive the loss of the tolerated number of domains together
with their disks.
"""

from collections.abc import Collection, Mapping


def spread_index(
    held: Mapping[str, int], domains: Mapping[str, str], silent: Collection[str], tolerated: int
) -> int:
    """Last index that is persisted in more failure domains than may be lost.

    `held` is the last persisted index of each voter, `domains` the failure domain of every process ever seen.
    Domains whose voters are all `silent` are considered lost already and are not waited for.
    """
    by_domain: dict[str, int] = {}
    for voter, index in held.items():
        domain = domains.get(voter, voter)
        if voter not in silent:
            by_domain[domain] = max(index, by_domain.get(domain, 0))
    needed = min(tolerated + 1, len(by_domain))
    return sorted(by_domain.values(), reverse=True)[needed - 1]
