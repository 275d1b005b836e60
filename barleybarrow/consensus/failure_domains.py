"""Commit rule for deployments that must survive the loss of whole failure domains.

Pure functions. A majority of the voters may be in a single zone or region, for example right after lost
voters were replaced. Acknowledged entries must survive the loss of the tolerated number of domains together
with their disks.
"""

from collections.abc import Collection, Mapping


def domain_quorum_index(
    persisted_indexes: Mapping[str, int],
    domains: Mapping[str, str],
    silent: Collection[str],
    tolerated_domains: int,
) -> int:
    """Last index that is persisted in more failure domains than may be lost.

    `persisted_indexes` is by voter, `domains` is the failure domain of every process ever seen.
    Domains whose voters are all `silent` are considered lost already and are not waited for.
    """
    index_by_domain: dict[str, int] = {}
    for voter, index in persisted_indexes.items():
        domain = domains.get(voter, voter)
        if voter not in silent:
            index_by_domain[domain] = max(index, index_by_domain.get(domain, 0))
    needed = min(tolerated_domains + 1, len(index_by_domain))
    return sorted(index_by_domain.values(), reverse=True)[needed - 1]
