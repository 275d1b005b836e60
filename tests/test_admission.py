"""Admission by itself: which check speaks first, what it costs whom, and what those who look on hear."""

import pytest
from helpers import SETTINGS

from barleybarrow.rate_limiter import Limit, RateLimiter, RateLimiterSettings
from barleybarrow.settings import read_settings
from barleybarrow.tokens import TokenSettings, issue
from brackenusher.core.admission import Admission, Bar, Request, Verdict
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.message import Message
from brackenusher.core.transaction import Observers, Transaction, Transactions
from brackenusher.fronts.http import worded

CONF = read_settings(SETTINGS)
KEYS = TokenSettings({"k1": b"0123456789abcdef"})
ASK = b"www-authenticate", b"Adw-Token"
GOOD = issue(KEYS, "k1", "p77", "read", 2_000).encode()


class Module:
    """Notes what it is told, and decides nothing."""

    def __init__(self):
        self.told = []

    def handle(self, now, event):
        self.told.append(event)
        return []


class World:
    def __init__(self, burst=1):
        self.module, self.seen = Module(), []
        self.owner = Transactions(self.module, lambda: 1000.0, Deadlines(), None)
        self.owner.observers = Observers(turned_away=(lambda request, words: self.seen.append(words),))
        self.door = RateLimiter(RateLimiterSettings(tenants={"kente-wars": Limit(2.0, burst)}))
        self.admission = Admission(self.owner, CONF, self.door, KEYS, lambda: 1_000.0)

    def admit(self, name=b"a", token=GOOD, beyond=False):
        message = Message(b"GET", b"/board-read", [], b"", b"kente-wars")
        request = Request(name, 0, 1400.0, 0, False, message, token, "127.0.0.1", beyond)
        return self.admission.admit(request, lambda answer: None)


def test_what_is_taken_reaches_the_module_once_and_can_leave():
    world = World()
    taken = world.admit()
    assert isinstance(taken, Transaction) and taken.message.charged == ("kente-wars", 1000.0)
    world.admission.left(taken)
    assert [type(event).__name__ for event in world.module.told] == ["Arrived", "Left"] and not world.seen


def test_the_checks_come_in_their_order_and_what_fails_one_is_not_charged_for_the_next():
    # guards against a flood without tokens, or beyond the share of descriptors, draining a tenant's bucket
    world = World()
    assert world.admit(token=None, beyond=True) == Verdict(Bar.ROOM, "", 600.0)
    assert world.admit(token=None) == Verdict(Bar.TOKEN, "missing")
    assert not world.door.buckets
    assert isinstance(world.admit(), Transaction)
    assert world.admit() == Verdict(Bar.DOOR, "", 500.0)  # before its id is looked at
    assert world.seen == ["room 600 refused", "token missing rejected", "door 500 refused"]
    assert len(world.module.told) == 1


def test_the_id_of_an_open_request_is_turned_away():
    world = World(burst=2)
    world.admit()
    assert world.admit() == Verdict(Bar.ID, "open") and world.seen == ["id open rejected"]


@pytest.mark.parametrize(
    ("verdict", "status", "headers", "fatal"),
    [
        (Verdict(Bar.ROOM, "", 600.0), 503, ((b"retry-after", b"0.600"),), True),
        (Verdict(Bar.TOKEN, "missing"), 401, ((b"adw-auth", b"missing"), ASK), False),
        (Verdict(Bar.TOKEN, "expired"), 401, ((b"adw-auth", b"expired"), ASK), False),
        (Verdict(Bar.TOKEN, "rights"), 403, ((b"adw-auth", b"rights"),), False),
        (Verdict(Bar.DOOR, "", 350.0), 429, ((b"retry-after", b"0.350"),), False),
        (Verdict(Bar.ID, "open"), 409, (), True),
    ],
)
def test_how_http_words_each_verdict(verdict, status, headers, fatal):
    answer = worded(verdict)
    assert (answer.status, answer.headers, answer.fatal) == (status, headers, fatal)
