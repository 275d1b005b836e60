"""Time constants of the shared limits, in milliseconds."""

from barleybarrow.limits.warden_lease import LeaseTimes

LEASE_TIMES = LeaseTimes(
    lease_ms=500.0,  # a killed credit server is replaced soon; one that stalls for 0.4 s still renews in time
    renewal_interval_ms=130.0,
    candidacy_timeout_ms=200.0,
    heartbeat_interval_ms=200.0,
    election_timeout_ms=300.0,
)
# Credit counts from the sending of the newest report that was replied to. It outlasts the loss of a credit
# server (the lease and a margin for clocks), the election of the next and its first reply.
CREDIT_LIFETIME_MS = 900.0
# From the newest reply until a proxy uses its fallback share: by then its credit has expired, and the credit
# server has stopped using that share.
FALLBACK_DELAY_MS = 1050.0
# From the newest report that was replied to until the fallback share expires. Acceptors that have lost the
# roster wait for this time before anything is granted, so it must be well within RecoverS.
SHARE_LIFETIME_MS = 8000.0
# Where all acceptors have stored the roster: traffic goes on while acceptors have no majority for this time,
# but the share of a lost machine is lent to nobody meanwhile.
STORED_SHARE_LIFETIME_MS = 20_000.0
# From the very first credit server until shares are assigned; all proxies start within a second.
INITIAL_PROXY_WAIT_MS = 2500.0
MIN_REPORT_INTERVAL_MS, MAX_REPORT_INTERVAL_MS = 120.0, 300.0  # without a pending request
REPORT_INTERVAL_PER_PROXY_MS = 3.0  # added to the minimum for each proxy
MIN_REPORT_GAP_MS = 2.0  # between two reports of one proxy, also for pending requests
EARLY_REPORT_DELAY_MS = (
    40.0  # until spent credit is reported if others wait for it or more is to be prefetched
)
NEED_REPORT_INTERVAL_MS = 80.0  # until an unanswered need is reported again
CREDIT_WAIT_TIMEOUT_MS = 150.0  # of a pending request
MIN_BLOCK_MS, MAX_BLOCK_MS = 20.0, 150.0  # of local refusals after the credit server has refused
IDLE_CREDIT_TIMEOUT_MS = 3000.0  # until unused credit is returned
IDLE_ENTRY_TIMEOUT_MS = 30_000.0  # until an unused entry is removed
MAX_ELECTION_JITTER_MS = 80.0  # from the expiry of an acceptor's promise until it becomes a candidate
HEARTBEAT_SILENCE_MS = 600.0  # since a proxy's newest report, until the credit server sends it heartbeats
PLAN_INTERVAL_MS = 200.0
ROSTER_RESEND_INTERVAL_MS = 500.0
# Until a new credit server goes on without acceptors that know the roster.
ROSTER_RECOVERY_TIMEOUT_MS = 600.0
DEFAULT_PROXY_COUNT = 50  # assumed until a proxy knows its share
