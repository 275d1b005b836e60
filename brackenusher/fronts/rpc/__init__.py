"""Client-side load balancing: the proxy's policy in the process of an RPC caller, for grpcio and httpx.

Exports are imported on first use, so that each library is required only by its own users.
"""

from importlib import import_module
from typing import Any

HOMES = {
    "BalancedChannel": "channel",
    "CallRefused": "calls",
    "AsyncBalancedTransport": "transport",
    "BalancedTransport": "transport",
    "PrometheusMetrics": "metrics",
    "Metrics": "metrics",
    "RpcConfig": "config",
    "read_config": "config",
}
__all__ = ["AsyncBalancedTransport", "BalancedChannel", "BalancedTransport", "CallRefused"]
__all__ += ["Metrics", "PrometheusMetrics", "RpcConfig", "read_config"]


def __getattr__(name: str) -> Any:
    if name not in HOMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{HOMES[name]}"), name)
