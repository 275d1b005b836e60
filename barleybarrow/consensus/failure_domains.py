"""How widely an entry must be held before it is agreed on, where whole failure domains may be lost.

Pure functions. A majority of the voters may lie in one zone or region, as right after repairs. What is
acknowledged must outlive the loss of as many domains, with their disks, as are tolerated.
"""

from collections.abc import Collection, Mapping


def spread_index(
    held: Mapping[str, int], domains: Mapping[str, str], silent: Collection[str], tolerated: int
) -> int:
    """Up to where the log is held in more domains than may be lost.

    `held` is the last index of each voter, `domains` the failure domain of each that was ever met. Domains
    all of whose voters are `silent` count as lost already: they are no longer waited for.
    """
    by_domain: dict[str, int] = {}
    for voter, index in held.items():
        domain = domains.get(voter, voter)
        if voter not in silent:
            by_domain[domain] = max(index, by_domain.get(domain, 0))
    needed = min(tolerated + 1, len(by_domain))
    return sorted(by_domain.values(), reverse=True)[needed - 1]
