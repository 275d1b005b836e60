"""Starts a role. Every process of the fleet imports this: keep it free of slow imports."""


def run_role(role: str) -> int:
    """Runs a role until the process is stopped; returns the exit code (see docs/operations-fleet.md)."""
    if role == "proxy":
        from brackenusher.assembly import proxy

        return proxy.main()
    from brackenusher.assembly import control

    return control.main()
