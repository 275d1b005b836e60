"""The decision logic of a load-balancing HTTP reverse proxy, without I/O."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from barleybarrow.brain import Balancer

__all__ = ["Balancer"]


def __getattr__(name: str) -> Any:
    """Import `Balancer` on first use (PEP 562): the fleet's processes use other modules only."""
    if name == "Balancer":
        from barleybarrow.brain import Balancer

        return Balancer
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
