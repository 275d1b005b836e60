"""Connects a control process's part in the limits (a keeper of the lease, or the warden) to its links."""

from brackenusher.data_plane.limits_driver import LimitsDriver


class SharesDriver(LimitsDriver):
    """Runs a `Limits` machine with `asks=False`; configurations come by `Limits.configure`."""
