"""Installation of views, and bringing lagging members up to date."""

from collections.abc import Mapping
from math import inf
from random import Random

from barleybarrow.view_links import ANSWER_VALIDITY_PERIODS, MAX_PINGS_PER_CHECK, ViewLinks
from barleybarrow.view_messages import Decided, EpochEnded, ViewPage, ViewRequest
from barleybarrow.views import ALIVE, Address, GroupMember, Peer, View, ViewChange, ViewStamp

# Times are in protocol periods.
YIELD_DELAY_PERIODS = 3.0  # contact with a larger group before this process leaves its own for it
# Between two updates for the same lagging peer; doubles each time.
MIN_RESEND_INTERVAL_PERIODS, MAX_RESEND_INTERVAL_PERIODS = 0.3, 2.4
FLAP_WINDOW_PERIODS = 60.0  # a removed member that returns sooner counts as a flap
REMOVAL_RETENTION_PERIODS = 300.0  # how long removed members are remembered
MAX_PAYLOAD_BYTES = 900  # of a change or a page
MAX_LOG_CHANGES = 64  # a peer that lags further behind gets the whole view in pages
MAX_HISTORY_VIEWS = 8
MAX_CHANGES_PER_SEND = 8  # to one lagging peer


class ViewUpdates(ViewLinks):
    """Installs views and updates lagging peers; the owner takes view changes from `turned`."""

    def __init__(
        self,
        name: str,
        epoch: int,
        address: Address,
        peers: Mapping[str, Peer],
        period: float,
        rng: Random,
        now: float,
    ) -> None:
        super().__init__(name, epoch, address, peers, period, rng, now)
        self.view_changes: list[tuple[int, View | None, View | None]] = []  # epoch, before, after
        self.flaps = 0
        self.removed: dict[str, tuple[float, int]] = {}  # (time of the removal, epoch)
        self.history: dict[int, View] = {}
        self.log: dict[int, ViewChange] = {}
        self.peer_stamps: dict[str, tuple[ViewStamp, int]] = {}  # latest stamp, and epoch of its sender
        self.received_members: dict[str, GroupMember] = {}
        self.received_page_key: tuple[int, int, int] = (0, 0, 0)
        self.epoch_began_at = now
        self.group_heard_at, self.founding_barred_until = -inf, -inf

    def reset_round(self) -> None:
        """Reset the state that belongs to one view number; overridden by layers above."""

    def apply_change(self, now: float, change: ViewChange) -> None:
        """Install the next view, which a decided change leads to."""
        assert self.view is not None
        before = self.view
        after = before.apply(change)
        self.log[after.number] = change
        if len(self.log) > MAX_LOG_CHANGES:
            del self.log[min(self.log)]
        self.install(now, before, after)

    def install(self, now: float, before: View | None, after: View) -> None:
        for member in after.members:
            if member.name in self.removed and (before is None or member.name not in before.by_name):
                self.flaps += now - self.removed[member.name][0] < FLAP_WINDOW_PERIODS * self.period
        for member in before.members if before is not None else ():
            if member.name not in after.by_name:
                self.removed[member.name] = now, member.epoch
        for name in [
            removed_name
            for removed_name, (removed_at, _) in self.removed.items()
            if now - removed_at > REMOVAL_RETENTION_PERIODS * self.period
        ]:
            del self.removed[name]
        self.history[after.number] = after
        if len(self.history) > MAX_HISTORY_VIEWS:
            del self.history[min(self.history)]
        self.reset_round()
        if not after.has_epoch(self.name, self.epoch):
            self.counts["taken_out"] += 1
            self.start_new_epoch(now, before)
            return
        first = self.view is None
        self.view = after
        self.view_changes.append((self.epoch, before, after))
        for name in [peer for peer in self.links if peer not in after.by_name and peer not in self.peers]:
            del self.links[name]
        if first:
            self.self_check_since = now if len(after.members) > 1 else inf
            self.disconnected = len(after.members) > 1
        self.next_check = now

    def start_new_epoch(self, now: float, before: View | None = None, may_found: bool = False) -> None:
        """Continue with a new epoch, without a group, since this one is no longer accepted by the group.

        It may not found a group for a long time, unless the old group is known to have ended: after a removal
        or after leaving a smaller group, the other members still exist.
        """
        self.founding_barred_until = now if may_found else now + REMOVAL_RETENTION_PERIODS * self.period
        self.view_changes.append((self.epoch, before or self.view, None))
        self.view, self.disconnected, self.self_check_since = None, True, now
        self.epoch += 1
        self.history.clear()
        self.log.clear()
        self.removed.clear()
        self.received_members.clear()
        self.epoch_began_at, self.group_heard_at = now, -inf
        self.reset_round()
        self.next_check = now
        reachable = [peer.name for peer in self.peers.values() if peer.state == ALIVE and peer.verified]
        self.queue_pings(now, self.rng.sample(reachable, min(MAX_PINGS_PER_CHECK // 2, len(reachable))))

    def on_decided(self, now: float, body: Decided) -> None:
        view = self.view
        if view is not None and (body.group, body.number) == (view.group, view.number + 1):
            self.apply_change(now, body.change)

    def on_page(self, now: float, body: ViewPage) -> None:
        """Collect pages of a view; install it once complete, if it is later than the current one."""
        view, key = self.view, (body.group, body.number, body.size)
        if view is None or view.group == body.group:
            for name, epoch in body.removed:
                if name != self.name and epoch > self.removed.get(name, (0.0, -1))[1]:
                    self.removed[name] = now, epoch
        if view is not None and (body.group != view.group or body.number <= view.number):
            return
        if key != self.received_page_key:
            if body.group == self.received_page_key[0] and body.number < self.received_page_key[1]:
                return
            self.received_page_key = key
            self.received_members.clear()
        self.received_members.update((member.name, member) for member in body.members)
        if len(self.received_members) != body.size:
            return
        received = View(
            body.group,
            body.number,
            tuple(self.received_members[name] for name in sorted(self.received_members)),
        )
        self.received_page_key = (0, 0, 0)
        self.received_members.clear()
        self.log.clear()  # the log must have no gaps; peers that lack older changes get pages
        if view is None and not received.has_epoch(self.name, self.epoch):
            return
        self.install(now, view, received)

    def on_stamp(self, now: float, source: Peer, stamp: ViewStamp) -> None:
        """Compare views on a datagram from a peer, and update whichever side lags behind."""
        self.peer_stamps[source.name] = stamp, source.epoch
        view = self.view
        if view is None:
            if stamp.group and not stamp.disconnected:
                self.group_heard_at = now
        elif stamp.group == view.group and stamp.number > view.number:
            link = self.link(source.name)
            if now - link.view_requested_at >= MIN_RESEND_INTERVAL_PERIODS * self.period:
                link.view_requested_at = now
                self.enqueue(source.address, ViewRequest())
        elif stamp.group == view.group and stamp.number < view.number:
            self.send_updates(now, source, stamp)
        elif stamp.group == 0 and view.has_epoch(source.name, source.epoch):
            self.send_updates(now, source, stamp)
        elif stamp.group == 0 and source.epoch <= self.removed.get(source.name, (0.0, -1))[1]:
            # The peer's clock may have gone back.
            self.enqueue(source.address, EpochEnded(self.removed[source.name][1]))
        elif stamp.group == 0 and self.is_superseded(source):
            self.enqueue(source.address, EpochEnded(view.by_name[source.name].epoch))
        elif stamp.group not in (0, view.group):
            self.on_foreign_group(now, source, stamp)

    def is_superseded(self, source: Peer) -> bool:
        """Whether a member has a higher epoch of this name, as the clock went back at a restart."""
        held = self.view.by_name.get(source.name) if self.view is not None else None
        return held is not None and held.epoch > source.epoch

    def send_updates(self, now: float, source: Peer, stamp: ViewStamp) -> None:
        """Send a lagging peer the changes that it lacks, or the whole view."""
        view, link = self.view, self.link(source.name)
        held_view = stamp.group, stamp.number
        if view is None or now - link.updates_sent_at < link.resend_interval * self.period:
            return
        link.resend_interval = (
            min(2 * link.resend_interval, MAX_RESEND_INTERVAL_PERIODS)
            if held_view == link.updates_sent_for
            else MIN_RESEND_INTERVAL_PERIODS
        )
        link.updates_sent_at, link.updates_sent_for = now, held_view
        missing = range(stamp.number + 1, view.number + 1)
        if stamp.group == view.group and missing and missing[0] in self.log:
            for number in missing[:MAX_CHANGES_PER_SEND]:
                self.enqueue(source.address, Decided(view.group, number, self.log[number]))
        elif stamp.group != view.group or missing:
            self.send_pages(now, source.name, source.address)

    def send_pages(self, now: float, name: str, address: Address) -> None:
        view = self.view
        assert view is not None
        members: list[GroupMember] = []
        room = MAX_PAYLOAD_BYTES
        for member in view.members:
            size = len(member.name) + len(member.host) + 16
            if size > room:
                self.enqueue(address, ViewPage(view.group, view.number, len(view.members), members))
                members, room = [], MAX_PAYLOAD_BYTES
            members.append(member)
            room -= size
        removed = [
            (member_name, epoch)
            for member_name, (_, epoch) in sorted(self.removed.items(), key=lambda item: -item[1][0])
        ]
        while removed and sum(len(member_name) + 12 for member_name, _ in removed) > MAX_PAYLOAD_BYTES:
            removed.pop()
        self.enqueue(address, ViewPage(view.group, view.number, len(view.members), members))
        if removed:
            self.enqueue(address, ViewPage(view.group, view.number, len(view.members), [], removed[:64]))

    def on_foreign_group(self, now: float, source: Peer, stamp: ViewStamp) -> None:
        """Leave the own group for another one with the same keys, if smaller or without a majority."""
        view, link = self.view, self.link(source.name)
        assert view is not None
        self.counts["foreign"] += 1
        if (
            stamp.disconnected
            or link.missed_pings
            or now - link.answering_since < YIELD_DELAY_PERIODS * self.period
        ):
            return
        if now - link.answered_at > ANSWER_VALIDITY_PERIODS * self.period:
            return
        if self.disconnected or (stamp.size, stamp.group) > (len(view.members), view.group):
            self.counts["yielded"] += 1
            self.start_new_epoch(now)
