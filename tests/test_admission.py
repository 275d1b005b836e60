"""Admission: order of the checks, charges to the rate limiter, and the summaries for observers."""

import pytest
from helpers import SETTINGS

from barleybarrow.rate_limiter import RateLimit, RateLimiter, RateLimiterSettings
from barleybarrow.settings import read_settings
from barleybarrow.tokens import TokenSettings, issue
from brackenusher.core.admission import Admission, Denial, DenialReason, Request
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.message import Message
from brackenusher.core.transaction import Observers, Transaction, Transactions
from brackenusher.fronts.http import rejection_for

CONF = read_settings(SETTINGS)
KEYS = TokenSettings({"k1": b"0123456789abcdef"})
CHALLENGE = b"www-authenticate", b"Adw-Token"
GOOD = issue(KEYS, "k1", "p77", "read", 2_000).encode()


class RecordingPolicy:
    """Records events and returns no actions."""

    def __init__(self):
        self.events = []

    def handle(self, now, event):
        self.events.append(event)
        return []


class Harness:
    def __init__(self, burst=1):
        self.policy, self.denials = RecordingPolicy(), []
        self.transactions = Transactions(self.policy, lambda: 1000.0, Deadlines(), None)
        self.transactions.observers = Observers(
            on_denial=(lambda request, words: self.denials.append(words),)
        )
        self.rate_limiter = RateLimiter(RateLimiterSettings(tenants={"kente-wars": RateLimit(2.0, burst)}))
        self.admission = Admission(self.transactions, CONF, self.rate_limiter, KEYS, lambda: 1_000.0)

    def admit(self, name=b"a", token=GOOD, beyond=False):
        message = Message(b"GET", b"/board-read", [], b"", b"kente-wars")
        request = Request(name, 0, 1400.0, 0, False, message, token, "127.0.0.1", beyond)
        return self.admission.admit(request, lambda answer: None)


def test_accepted_request_reaches_policy_once_and_can_be_abandoned():
    harness = Harness()
    accepted = harness.admit()
    assert isinstance(accepted, Transaction) and accepted.message.rate_limit_charge == ("kente-wars", 1000.0)
    harness.admission.client_left(accepted)
    assert [type(event).__name__ for event in harness.policy.events] == [
        "Arrived",
        "Left",
    ] and not harness.denials


def test_failed_check_is_not_charged_to_the_next():
    # guards against requests without tokens, or beyond the descriptor limit, draining a tenant's bucket
    harness = Harness()
    assert harness.admit(token=None, beyond=True) == Denial(DenialReason.CONNECTION_LIMIT, "", 600.0)
    assert harness.admit(token=None) == Denial(DenialReason.TOKEN, "missing")
    assert not harness.rate_limiter.buckets
    assert isinstance(harness.admit(), Transaction)
    assert harness.admit() == Denial(DenialReason.RATE_LIMIT, "", 500.0)  # before the id is checked
    assert harness.denials == ["room 600 refused", "token missing rejected", "door 500 refused"]
    assert len(harness.policy.events) == 1


def test_duplicate_id_is_denied():
    harness = Harness(burst=2)
    harness.admit()
    assert harness.admit() == Denial(DenialReason.DUPLICATE_ID, "open") and harness.denials == [
        "id open rejected"
    ]


@pytest.mark.parametrize(
    ("verdict", "status", "headers", "fatal"),
    [
        (Denial(DenialReason.CONNECTION_LIMIT, "", 600.0), 503, ((b"retry-after", b"0.600"),), True),
        (Denial(DenialReason.TOKEN, "missing"), 401, ((b"adw-auth", b"missing"), CHALLENGE), False),
        (Denial(DenialReason.TOKEN, "expired"), 401, ((b"adw-auth", b"expired"), CHALLENGE), False),
        (Denial(DenialReason.TOKEN, "rights"), 403, ((b"adw-auth", b"rights"),), False),
        (Denial(DenialReason.RATE_LIMIT, "", 350.0), 429, ((b"retry-after", b"0.350"),), False),
        (Denial(DenialReason.DUPLICATE_ID, "open"), 409, (), True),
    ],
)
def test_http_response_to_each_denial(verdict, status, headers, fatal):
    response = rejection_for(verdict)
    assert (response.status, response.headers, response.fatal) == (status, headers, fatal)
