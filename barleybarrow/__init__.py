"""Decisions of a reverse proxy that spreads requests over HTTP servers."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from barleybarrow.brain import Balancer

__all__ = ["Balancer"]


def __getattr__(name: str) -> Any:
    """Import `Balancer` when it is first asked for: the fleet uses other modules only (PEP 562)."""
    if name == "Balancer":
        from barleybarrow.brain import Balancer

        return Balancer
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
