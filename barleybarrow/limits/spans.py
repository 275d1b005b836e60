"""Spans of the machine that shares limits, in milliseconds, each with its reason."""

from barleybarrow.limits.warden_lease import LeaseTimes

LEASE_TIMES = LeaseTimes(
    lease=500.0,  # a killed warden is followed soon; one that stands still for 0.4 s still renews in time
    renewal_interval_ms=130.0,
    candidacy_timeout_ms=200.0,
    heartbeat_interval_ms=200.0,
    election_timeout_ms=300.0,
)
CREDIT_LIFETIME_MS = (
    900.0  # credit counts so long from the question whose answer is the newest: longer than it takes
)
# to lose a warden (`lease`, and a margin for clocks), to follow it and to be heard
FALLBACK_DELAY_MS = (
    1050.0  # from the newest answer until a proxy uses its base: its credit is over, and the warden stops
)
# using that base before
SHARE_LIFETIME_MS = (
    8000.0  # from the newest answered question until the base is void: keepers that have forgotten
)
# the roster wait so long until anything is granted, which must be well within RecoverS
STORED_SHARE_LIFETIME_MS = (
    20_000.0  # where all keepers have stored the roster: a group without a majority for so long stops no
)
# traffic; the base of a machine that is gone is lent to nobody meanwhile
INITIAL_PROXY_WAIT_MS = (
    2500.0  # from the very first warden on until bases are given out: all proxies start within a second
)
MIN_REPORT_INTERVAL_MS, MAX_REPORT_INTERVAL_MS = (
    120.0,
    300.0,
)  # between two reports of a proxy that has nothing to say
REPORT_INTERVAL_PER_PROXY_MS = 3.0  # more for each proxy
MIN_REPORT_GAP_MS = 2.0  # between two reports of one proxy for requests that wait
EARLY_REPORT_DELAY_MS = (
    40.0  # until spent credit is reported, where others wait for that or more is wanted at hand
)
NEED_REPORT_INTERVAL_MS = 80.0  # until a need that had no answer is reported again
CREDIT_WAIT_TIMEOUT_MS = 150.0  # that a request waits for credit
MIN_BLOCK_MS, MAX_BLOCK_MS = 20.0, 150.0  # refusals without asking, after the warden refused
IDLE_CREDIT_TIMEOUT_MS = 3000.0  # until unused credit goes back
IDLE_ENTRY_TIMEOUT_MS = 30_000.0  # until an unused entry is forgotten
MAX_ELECTION_JITTER_MS = 80.0  # at most, beyond the end of a keeper's promise, until it seeks
HEARTBEAT_SILENCE_MS = 600.0  # from a proxy's newest report until the warden says again that it is there
PLAN_INTERVAL_MS = 200.0
ROSTER_RESEND_INTERVAL_MS = 500.0
ROSTER_RECOVERY_TIMEOUT_MS = (
    600.0  # of a new warden with keepers that know the roster, before it goes on without
)
DEFAULT_PROXY_COUNT = 50  # until a proxy knows its base
