"""A week in virtual time: the same plan on the machines of each part, at any size, each by itself.

Views, policy and marks are played one after the other, as their machines ask nothing of each other but what
`reach` says, which here is everybody. Disks are never slow or full here.
"""

from functools import partial

from barleybarrow.rollout import Drop, Electorate
from testbed import cluster
from testbed import oracle_views as views
from testbed.copies import Copies
from testbed.group import PERIOD, Group
from testbed.policy_group import PolicyGroup
from testbed.week.plan import FIXED, Plan

CALM = 10.0  # periods until the group has come together
LOOK = 200.0  # milliseconds between two questions of clients, who are many
LAST = 40_000.0  # milliseconds in which all has to come together once the last fault is over
LAST_PERIODS = 30.0  # the same of views
EMPTY = 0.4  # of the restarts of keepers, that find an empty disk; never so many that a majority is lost
MANY = 50  # proxies; with more each is asked less often


def play(plan: Plan) -> list[str]:
    """What was broken."""
    return of_views(plan) + of_policy(plan) + of_marks(plan)


def of_views(plan: Plan) -> list[str]:
    group = Group(plan.size, plan.seed)
    group.run(CALM * PERIOD)
    group.play(plan.faults)
    end = group.now + LAST_PERIODS * PERIOD
    while group.now < end and group.unsettled() and not group.hopeless():
        group.run(group.now + PERIOD)
    found = views.breaches(group.history())
    return found or ([why] if not group.hopeless() and (why := group.unsettled()) else [])


def of_policy(plan: Plan) -> list[str]:
    c = PolicyGroup(plan.size, min(FIXED, plan.size), plan.seed, plan.fence, within=8000.0)
    c.run(3000.0)
    c.first()
    c.clients(LOOK if plan.size > MANY else 10.0)
    end = c.plan(plan.faults)
    for hand in plan.hands:
        at = c.origin + hand.at * cluster.PERIOD
        if hand.do == "propose":
            c.at(at, c.propose, hand.who)
        elif hand.do == "voters":
            c.at(at, partial(elect, c, hand.what), hand.who)
        elif hand.do == "withdraw":
            c.at(at, partial(withdraw, c), hand.who)
        elif hand.do == "drop":
            c.at(at, c.crash, hand.who)
            c.at(at, partial(drop, c), hand.who)
            c.at(at + hand.lasts * cluster.PERIOD, c.back, hand.who)
    c.run(end)
    c.faults = []
    for i in range(c.size):
        c.back(i)
    end = c.now + LAST
    while c.now < end and not c.settled():
        c.run(c.now + 500.0)
    return c.breaches() + ([] if c.settled() else ["settles: not one policy at all"])


def elect(c: PolicyGroup, names: list[str], i: int) -> None:
    if c.runs(i):
        c.members[i].submit(c.clock(i), Electorate(names, "staff"))
        c.carry(i)


def withdraw(c: PolicyGroup, i: int) -> None:
    member = c.members[i]
    if c.runs(i) and member.rollout_state.pending:
        member.withdraw(c.clock(i), member.rollout_state.pending, "staff")
        c.carry(i)


def drop(c: PolicyGroup, i: int) -> None:
    """Have one that is down taken off the roster, by whoever is next and runs."""
    for j in (n % c.size for n in range(i + 1, i + c.size)):
        if c.runs(j):
            c.members[j].submit(c.clock(j), Drop(f"n{i}", "staff"))
            c.carry(j)
            return


def of_marks(plan: Plan) -> list[str]:
    c = Copies(plan.size, min(FIXED, plan.size), plan.seed)
    c.disks_fail = EMPTY
    c.run(2000.0)
    end = c.plan(plan.faults)
    for hand in plan.hands:
        if hand.do in ("mark", "clear"):
            value = b"1" if hand.do == "mark" else None
            c.at(c.origin + hand.at * cluster.PERIOD, partial(write, c, hand.what[0], value), hand.who)
        elif hand.do == "drop":
            c.at(c.origin + hand.at * cluster.PERIOD, c.crash, hand.who)
            c.at(c.origin + (hand.at + hand.lasts) * cluster.PERIOD, c.back, hand.who)
    c.run(end)
    c.faults = []
    for i in range(c.size):
        c.back(i)
    end = c.now + LAST
    while c.now < end and not c.quiet():
        c.run(c.now + 1000.0)
    return c.breaches() + c.unlike()


def write(c: Copies, key: str, value: bytes | None, i: int) -> None:
    c.write(i, f"server {key}", value)
