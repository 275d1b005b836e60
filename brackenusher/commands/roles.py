"""Starts a role. Nothing heavy is imported here: each process of the fleet comes this way."""


def run_role(role: str) -> int:
    """Run a role until the process is told to end; the exit code (see docs/operations-fleet.md)."""
    if role == "proxy":
        from brackenusher.assembly import proxy

        return proxy.main()
    from brackenusher.assembly import control

    return control.main()
