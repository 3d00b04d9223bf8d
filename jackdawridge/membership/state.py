"""The table of members that a process knows."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from jackdawridge.membership.gossip import GossipQueue
from jackdawridge.membership.messages import Member, State
from jackdawridge.membership.runs import GONE_AFTER, EndedRuns, drop_oldest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.membership.messages import Introduction

#: Time for which a process that finds a later run of its own node takes
#: itself for the newcomer, in seconds.
JOIN_GRACE = 10.0
#: Time for which dead and left members are remembered, in seconds.
TOMBSTONE_RETENTION = 900.0
#: Most dead and left members that are remembered.
MAX_TOMBSTONES = 4096
#: Most members that are remembered at all.
MAX_MEMBERS = 32768

_ROLES = frozenset(('entry', 'side'))
_MAX_TEXT = 256


class Timing(NamedTuple):
    """Bounds of the table, in seconds."""

    #: Time that a suspected member has to refute.
    suspicion: float
    join_grace: float = JOIN_GRACE
    retention: float = TOMBSTONE_RETENTION
    gone_after: float = GONE_AFTER


class Table:
    """The newest record of each member.

    A record replaces another of its node if its precedence is higher, so
    tables that have seen the same records are equal whatever the order.

    :param own: the record of this process.
    :param timing: the bounds.
    :param now: the time in seconds.
    """

    def __init__(self, own: Member, timing: Timing, now: float) -> None:
        """Start with this process as the only member."""
        self.own = own
        self.timing = timing
        self.started = now
        #: Whether a later run of this node exists.
        self.superseded = False
        self.members: dict[str, Member] = {own.node: own}
        #: The members that are entries.
        self.entries: dict[str, Member] = {}
        if own.role == 'entry':
            self.entries[own.node] = own
        #: Order-independent digest of the present members.
        self.digest = fingerprint(own)
        #: When each suspected member is declared dead.
        self.deadlines: dict[str, float] = {}
        #: Since when each dead or left member is so, oldest first.
        self.ended: dict[str, float] = {}
        self.runs = EndedRuns(timing.gone_after)
        self.queue = GossipQueue()
        self.queue.put(own)

    def learn(self, member: Member, now: float) -> Member | None:
        """Take a record of a whole table, which need not be passed on.

        :param member: a record from a peer.
        :param now: the time in seconds.
        """
        news = self.merge(member, now)
        if news is member:
            self.queue.forget(member.node)
        return news

    def merge(self, member: Member, now: float) -> Member | None:
        """Take a record and return it if it was news.

        News about this process itself is answered by a refutation, which is
        returned in its place.

        :param member: a record from a peer.
        :param now: the time in seconds.
        """
        if not is_valid(member):
            return None
        if member.node == self.own.node:
            return self.merge_own(member, now)
        known = self.members.get(member.node)
        if known is None and len(self.members) >= MAX_MEMBERS:
            return None
        if known and known.precedence() >= member.precedence():
            return None
        self.store(member, now)
        return member

    def merge_own(self, member: Member, now: float) -> Member | None:
        """Take what others say about this node.

        :param member: a record of this node.
        :param now: the time in seconds.
        """
        own = self.own
        if self.superseded or own.state == State.left:
            return None
        if member.precedence() <= own.precedence():
            return None
        if member.incarnation == own.incarnation:
            return self.refute(member.version, now)
        if now - self.started <= self.timing.join_grace:
            return self.outrank(member.generation, now)
        self.superseded = True
        return None

    def refute(self, version: int, now: float) -> Member:
        """Say that this process is alive.

        :param version: the version that was suspected or declared dead.
        :param now: the time in seconds.
        """
        return self.renew(self.own._replace(version=version + 1), now)

    def outrank(self, generation: int, now: float) -> Member:
        """Take a generation after that of an earlier run of this node.

        :param generation: of the earlier run.
        :param now: the time in seconds.
        """
        return self.renew(self.own._replace(generation=generation + 1), now)

    def leave(self, now: float, *, final: bool = False) -> Member:
        """Say that this process is leaving.

        :param now: the time in seconds.
        :param final: whether it has finished its work and is about to end.
        """
        own = self.own._replace(leaving=True)
        if final:
            own = own._replace(state=int(State.left))
        return self.renew(own, now)

    def renew(self, own: Member, now: float) -> Member:
        """Change the record of this process and queue it.

        :param own: the new record.
        :param now: the time in seconds.
        """
        self.own = own
        self.store(self.own, now)
        return self.own

    def store(self, member: Member, now: float) -> None:
        """Keep a record, adjust what depends on it, and queue it.

        :param member: newer than the known record of its node.
        :param now: the time in seconds.
        """
        node = member.node
        known = self.members.get(node)
        if known is not None:
            self.digest ^= fingerprint(known)
        self.digest ^= fingerprint(member)
        self.members[node] = member
        if member.role == 'entry':
            self.entries[node] = member
        self.runs.note(known, member, now)
        self.deadlines.pop(node, None)
        self.ended.pop(node, None)
        if member.state == State.suspect:
            self.deadlines[node] = now + self.timing.suspicion
        elif member.state != State.alive:
            self.ended[node] = now
        self.queue.put(member)

    def suspect(self, node: str, now: float) -> Member | None:
        """Suspect a member that does not answer; return the new record.

        :param node: a member.
        :param now: the time in seconds.
        """
        known = self.members.get(node)
        if known is None or known.state != State.alive or known is self.own:
            return None
        suspected = known._replace(state=int(State.suspect))
        self.store(suspected, now)
        return suspected

    def expire(self, now: float) -> list[Member]:
        """Declare suspects dead, drop old tombstones, return the dead.

        :param now: the time in seconds.
        """
        due = [node for node, at in self.deadlines.items() if at <= now]
        dead = [
            self.members[node]._replace(state=int(State.dead)) for node in due
        ]
        for member in dead:
            self.store(member, now)
        self.drop_tombstones(now)
        return dead

    def drop_tombstones(self, now: float) -> None:
        """Forget members that ended long ago, and the oldest over the bound.

        :param now: the time in seconds.
        """
        horizon = now - self.timing.retention
        self.runs.expire(now, horizon)
        for node in drop_oldest(self.ended, horizon, MAX_TOMBSTONES):
            if node != self.own.node:
                self.members.pop(node, None)
                self.entries.pop(node, None)
                self.queue.forget(node)

    def is_gone(self, address: str, incarnation: str, now: float) -> bool:
        """Return whether a run of an entry has ended for good.

        A run that merely does not answer is not gone.

        :param address: the peer address of the entry.
        :param incarnation: the id of the run.
        :param now: the time in seconds.
        """
        at_address = [
            member
            for member in self.entries.values()
            if member.address == address
        ]
        return self.runs.is_gone(address, incarnation, at_address, now)

    def of_role(self, role: str) -> list[Member]:
        """Return the present members of a role, this process included.

        :param role: `entry` or `side`.
        """
        known = self.entries if role == 'entry' else self.members
        return [
            member
            for member in known.values()
            if member.role == role and member.is_present()
        ]


def introduced(introduction: Introduction) -> Member:
    """Return the record of a process that introduces itself.

    :param introduction: what it says about itself.
    """
    return Member(
        introduction.node,
        introduction.generation,
        introduction.incarnation,
        introduction.version,
        int(State.alive),
        introduction.leaving,
        introduction.role,
        introduction.failure_domain,
        introduction.address,
        introduction.service,
    )


def fingerprint(member: Member) -> int:
    """Return the share of a member in the digest; 0 unless it is present.

    :param member: any record.
    """
    if not member.is_present():
        return 0
    text = '{0}|{1}|{2}|{3}|{4}'.format(
        member.node,
        member.generation,
        member.incarnation,
        member.version,
        member.leaving,
    )
    return xxhash.xxh64_intdigest(text.encode())


def is_valid(member: Member) -> bool:
    """Return whether a record from a peer can be kept.

    :param member: any record.
    """
    texts = (
        member.node,
        member.incarnation,
        member.failure_domain,
        member.address,
        member.service,
    )
    return (
        bool(member.node)
        and member.role in _ROLES
        and member.state <= State.left
        and _longest(texts) <= _MAX_TEXT
    )


def _longest(texts: Iterable[str]) -> int:
    """Return the length of the longest text."""
    return max(len(text) for text in texts)
