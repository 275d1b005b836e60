"""The plug-in for RPC callers: the daemon's decisions in the caller's process, under grpcio and httpx.

Nothing is imported until it is asked for, so that each library is needed by its own users alone.
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
