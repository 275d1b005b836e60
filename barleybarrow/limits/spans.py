"""Spans of the machine that shares limits, in milliseconds, each with its reason."""

from barleybarrow.limits.warden_lease import LeaseTimes

LEASE_TIMES = LeaseTimes(
    lease=500.0,  # a killed warden is followed soon; one that stands still for 0.4 s still renews in time
    renew=130.0,
    seek=200.0,
    here=200.0,
    no_warden=300.0,
)
CREDIT_LIFE = (
    900.0  # credit counts so long from the question whose answer is the newest: longer than it takes
)
# to lose a warden (`lease`, and a margin for clocks), to follow it and to be heard
FALL = 1050.0  # from the newest answer until a proxy uses its base: its credit is over, and the warden stops
# using that base before
BASE_LIFE = 8000.0  # from the newest answered question until the base is void: keepers that have forgotten
# the roster wait so long until anything is granted, which must be well within RecoverS
BASE_LIFE_STORED = (
    20_000.0  # where all keepers have stored the roster: a group without a majority for so long stops no
)
# traffic; the base of a machine that is gone is lent to nobody meanwhile
GATHER = 2500.0  # from the very first warden on until bases are given out: all proxies start within a second
REPORT_LEAST, REPORT_MOST = 120.0, 300.0  # between two reports of a proxy that has nothing to say
REPORT_EACH = 3.0  # more for each proxy
URGENT_GAP = 2.0  # between two reports of one proxy for requests that wait
SOON = 40.0  # until spent credit is reported, where others wait for that or more is wanted at hand
REPEAT = 80.0  # until a need that had no answer is reported again
PATIENCE = 150.0  # that a request waits for credit
BLOCK_LEAST, BLOCK_MOST = 20.0, 150.0  # refusals without asking, after the warden refused
IDLE_RETURN = 3000.0  # until unused credit goes back
IDLE_DROP = 30_000.0  # until an unused entry is forgotten
SEEK_AGAIN = 80.0  # at most, beyond the end of a keeper's promise, until it seeks
SILENT_HERE = 600.0  # from a proxy's newest report until the warden says again that it is there
PLAN_EVERY = 200.0
ROSTER_REPEAT = 500.0
ROSTER_PATIENCE = 600.0  # of a new warden with keepers that know the roster, before it goes on without
EXPECTED_PROXIES = 50  # until a proxy knows its base
