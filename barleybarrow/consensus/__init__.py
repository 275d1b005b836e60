"""Decisions of the control core: the state machine of the configuration, membership of the voters, bootstrap. No I/O; time is passed in."""
