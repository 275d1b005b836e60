"""Connects a control process's part in the limits (keeper of the lease, or its warden) to its links."""

from brackenusher.data_plane.limits_driver import LimitsDriver


class SharesDriver(LimitsDriver):
    """Runs the machine at a control process; configurations come by `configure` of its `Limits`."""
