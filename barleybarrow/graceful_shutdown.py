"""The graceful shutdown: how long to serve on after the word to stop, what comes when, how much time is left.

It decides and does no I/O; it is told the time. Every time is in milliseconds on one monotonic clock. It must
never plan an answer for later than `answered_by`, which lies before the earliest time of the kill.

Phases come in order, and none comes back:

    SERVING    as ever, but what comes in late has its time cut, or is refused at once
    DRAINING   each answer ends its connection, connections between requests are closed, new ones still come
    CLOSING    all is answered; what waits at the door is taken in and refused, then the door is closed
    ENDED      nobody is left, or only those who do not take their answers and whom the kill would cut off
"""

from enum import IntEnum

LONGEST = 3000.0  # ms: the platform counts the longest deadline as this where it is longer
GRACE = 700.0  # ms on top of that, before which the kill does not come
DOOR_FROM = 200.0  # ms after the word, from when on new connections may no longer come
DOOR = 450.0  # ms after the word in which new connections come: 400 by the platform, and some for the way
PERIOD = 100.0  # ms, the kernel's default period of a CPU limit: a share stops a program for the rest of it
WORK = 50.0  # ms kept for the turn that is under way at the end, for the last answers, and 30 for the exit
EACH = 0.5  # ms of CPU to give one request up, answer it and end its connection
SPARE = 1 / 8  # of the connections, two at least, is to be free then: so many may be asked on in one turn
FEW = 8  # with fewer connections than this none is spared: each may belong to a client of its own
USUAL = 1 / 16  # weight of a new answer in what one usually takes
RESTART = 500.0  # ms from the kill until a new program serves: 300 measured, and some for a busy machine


class Phase(IntEnum):
    """What is to be done now."""

    SERVING = 0
    DRAINING = 1
    CLOSING = 2
    ENDED = 3


class GracefulShutdown:
    """The plan of one program's end, made when the word to stop comes and tightened by what is seen since.

    `told_at` is when the word came, `longest` the longest deadline of the settings, `share` the part of a
    core that the program may use (over 0; 1 and more mean a whole one), and `least` the shortest time with
    which a request is worth starting; what has less is refused at once. `alone`: there is no other proxy that
    clients could turn to.
    """

    def __init__(self, told_at: float, longest: float, share: float, least: float, alone: bool) -> None:
        self.told_at, self.least, self.alone, self.usual = told_at, least, alone, 0.0
        self.limit = told_at + min(longest, LONGEST) + GRACE  # the kill comes no sooner
        self.stall = PERIOD * (1.0 - min(share, 1.0))  # the longest time that the program may stand still
        self.phase = Phase.SERVING

    @property
    def answered_by(self) -> float:
        """When all is answered: there may be one stall before the word was noticed and one at the end."""
        return self.limit - WORK - 2 * self.stall

    @property
    def draining_from(self) -> float:
        """From when on nothing is worth starting."""
        return max(self.answered_by - self.enough, self.told_at + DOOR)

    @property
    def end(self) -> float:
        """When the program ends though some still do not take their answers; the rest is for its exit."""
        return self.answered_by + (self.limit - self.answered_by) / 3

    @property
    def enough(self) -> float:
        """What must be left for a request to be started: with half of the usual time some are served."""
        return max(self.least, self.usual / 2)

    def answered(self, elapsed: float) -> None:
        """Note how long a served request took."""
        self.usual += USUAL * (elapsed - self.usual) if self.usual else elapsed

    def crowded(self, now: float, free: int, in_hand: int) -> bool:
        """Whether a newcomer is refused so that clients have a free connection for the next request.

        They can open no other then, and a front that finds none free takes the program for gone. `free` are
        the connections between requests, `in_hand` the requests beside the newcomer.
        """
        connections = free + in_hand + 1
        if not self.alone or connections < FEW or now < self.told_at + DOOR_FROM:
            return False
        return free < max(2.0, SPARE * connections)

    def cut(self, now: float, span: float, in_hand: int) -> float:
        """What is left of a request's span, or 0 where it is to be refused at once.

        The more are in hand, the earlier the newest is over: not all can be answered in one moment.
        """
        left = self.answered_by - EACH * in_hand - now
        if span <= left:
            return span
        return left if left >= self.enough else 0.0

    def come_back(self, now: float, most: float) -> float:
        """After how long a refused client may find a new program, at most `most`."""
        return min(max(self.limit - now, 0.0) + RESTART, most)

    def step(self, now: float, late: float, clients: int, shut: bool) -> Phase:
        """Say what is to be done now.

        Called every few milliseconds: `late` is by how much it was called too late, `clients` the number of
        client connections, and `shut` whether the door is closed.
        """
        self.stall = max(self.stall, late)
        self.phase = max(self.phase, self.due(now, clients, shut))
        return self.phase

    def due(self, now: float, clients: int, shut: bool) -> Phase:
        if now >= self.end or shut and not clients:
            return Phase.ENDED
        if now >= self.answered_by or now >= self.told_at + DOOR and not clients:
            return Phase.CLOSING
        return Phase.DRAINING if now >= self.draining_from else Phase.SERVING
