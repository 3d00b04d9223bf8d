"""The member table of a process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import xxhash

from jackdawridge.membership.ended_runs import (
    RUN_END_TIMEOUT,
    EndedRuns,
    pop_expired,
)
from jackdawridge.membership.gossip_queue import GossipQueue
from jackdawridge.membership.messages import Member, State

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.membership.messages import Introduction

#: Time from the start in which a process that learns of a newer run of its own
#: node assumes that it is itself the later one, in seconds.
JOIN_GRACE_TIME = 10.0
#: Retention of the records of dead and departed members, in seconds.
TOMBSTONE_RETENTION_TIME = 900.0
#: Maximum number of records of dead and departed members.
MAX_TOMBSTONES = 4096
#: Maximum number of member records.
MAX_MEMBERS = 32768

_ROLES = frozenset(('entry', 'side'))
_MAX_TEXT_LENGTH = 256


class Timing(NamedTuple):
    """Timeouts of the member table, in seconds."""

    #: Time in which a suspected member can refute the suspicion.
    suspicion_timeout: float
    join_grace: float = JOIN_GRACE_TIME
    retention: float = TOMBSTONE_RETENTION_TIME
    run_end_timeout: float = RUN_END_TIMEOUT


class MemberTable:
    """The newest known record of each member.

    A record replaces another of its node if its precedence is higher. Tables
    that have merged the same records are therefore equal in any order.

    :param own: the record of this process.
    :param timing: the timeouts.
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
        #: The members that are entries, by node.
        self.entries: dict[str, Member] = {}
        if own.role == 'entry':
            self.entries[own.node] = own
        #: Order-independent digest of the members that are present.
        self.digest = fingerprint(own)
        #: Time at which each suspected member is declared dead, by node.
        self.suspicion_deadlines: dict[str, float] = {}
        #: Time at which each member was declared dead or left, oldest first.
        self.ended_at: dict[str, float] = {}
        self.runs = EndedRuns(timing.run_end_timeout)
        self.queue = GossipQueue()
        self.queue.put(own)

    def merge_without_gossip(self, member: Member, now: float) -> Member | None:
        """Merge a record from another entry's table without queueing it.

        :param member: a record from a peer.
        :param now: the time in seconds.
        :returns: the changed record as for `merge`, or None.
        """
        change = self.merge(member, now)
        if change is not None and change is not self.own:
            self.queue.forget(member.node)
        return change

    def merge(self, member: Member, now: float) -> Member | None:
        """Merge a record and return what changed, if anything.

        A record that contradicts this process's own state is answered by a
        refutation, which is returned in its place.

        :param member: a record from a peer.
        :param now: the time in seconds.
        :returns: the new record, or None if the record was not newer.
        """
        if not is_valid(member):
            return None
        if member.node == self.own.node:
            return self.merge_own(member, now)
        known = self.members.get(member.node)
        if known is None and len(self.members) >= MAX_MEMBERS:
            return None
        if known and known.precedence() >= member.precedence():
            if member.capacity and not known.capacity:
                self.learn_capacity(known, member)
            return None
        self.store(member, now)
        return self.members[member.node]

    def learn_capacity(self, known: Member, member: Member) -> None:
        """Complete a record that lacks the capacity of its entry.

        A process of an earlier version passes records on without it.

        :param known: the known record of a node.
        :param member: a record of the node that isn't newer.
        """
        complete = with_capacity(known, member)
        self.members[known.node] = complete
        if known.role == 'entry':
            self.entries[known.node] = complete
        if self.queue.members.get(known.node) is not None:
            self.queue.members[known.node] = complete

    def merge_own(self, member: Member, now: float) -> Member | None:
        """Merge a record of this node that came from a peer.

        :param member: a record of this node.
        :param now: the time in seconds.
        :returns: the new own record, or None if it didn't change.
        """
        own = self.own
        if self.superseded or own.state == State.left:
            return None
        if member.precedence() <= own.precedence():
            return None
        if member.incarnation == own.incarnation:
            return self.refute(member.version, now)
        if now - self.started <= self.timing.join_grace:
            return self.raise_generation(member.generation, now)
        self.superseded = True
        return None

    def refute(self, version: int, now: float) -> Member:
        """Raise the version of the own record to refute a suspicion.

        :param version: the version that was suspected or declared dead.
        :param now: the time in seconds.
        """
        return self.replace_own(self.own._replace(version=version + 1), now)

    def raise_generation(self, generation: int, now: float) -> Member:
        """Raise the own generation above that of an earlier run of this node.

        :param generation: the generation of the earlier run.
        :param now: the time in seconds.
        """
        return self.replace_own(
            self.own._replace(generation=generation + 1), now
        )

    def leave(self, now: float, *, final: bool = False) -> Member:
        """Mark this process as leaving and return its new record.

        :param now: the time in seconds.
        :param final: whether the process has drained and is about to stop.
        """
        own = self.own._replace(leaving=True)
        if final:
            own = own._replace(state=int(State.left))
        return self.replace_own(own, now)

    def replace_own(self, own: Member, now: float) -> Member:
        """Replace the record of this process and queue it for gossip.

        :param own: the new record.
        :param now: the time in seconds.
        """
        self.own = own
        self.store(self.own, now)
        return self.own

    def store(self, member: Member, now: float) -> None:
        """Store a record, update the digest and the indexes, and queue it.

        :param member: newer than the known record of its node.
        :param now: the time in seconds.
        """
        node = member.node
        known = self.members.get(node)
        if known is not None:
            self.digest ^= fingerprint(known)
        self.digest ^= fingerprint(member)
        stored = with_capacity(member, known)
        self.members[node] = stored
        if member.role == 'entry':
            self.entries[node] = stored
        self.runs.record(known, member, now)
        self.suspicion_deadlines.pop(node, None)
        self.ended_at.pop(node, None)
        if member.state == State.suspect:
            self.suspicion_deadlines[node] = now + self.timing.suspicion_timeout
        elif member.state != State.alive:
            self.ended_at[node] = now
        self.queue.put(stored)

    def suspect(self, node: str, now: float) -> Member | None:
        """Mark a member that doesn't answer as suspected.

        :param node: the node of the member.
        :param now: the time in seconds.
        :returns: the new record, or None unless the member was alive.
        """
        known = self.members.get(node)
        if known is None or known.state != State.alive or known is self.own:
            return None
        suspected = known._replace(state=int(State.suspect))
        self.store(suspected, now)
        return suspected

    def expire(self, now: float) -> list[Member]:
        """Declare members dead whose suspicion has timed out; drop tombstones.

        :param now: the time in seconds.
        :returns: the new records of the dead members.
        """
        due = [
            node for node, at in self.suspicion_deadlines.items() if at <= now
        ]
        dead = [
            self.members[node]._replace(state=int(State.dead)) for node in due
        ]
        for member in dead:
            self.store(member, now)
        self.drop_tombstones(now)
        return dead

    def drop_tombstones(self, now: float) -> None:
        """Drop expired tombstones, and the oldest ones above the limit.

        :param now: the time in seconds.
        """
        horizon = now - self.timing.retention
        self.runs.expire(now, horizon)
        for node in pop_expired(self.ended_at, horizon, MAX_TOMBSTONES):
            if node != self.own.node:
                self.members.pop(node, None)
                self.entries.pop(node, None)
                self.queue.forget(node)

    def is_gone(self, address: str, incarnation: str, now: float) -> bool:
        """Return whether a run of an entry has ended for good.

        A run that is merely unreachable is not gone.

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
        """Return the present members of a role, including this process.

        :param role: `entry` or `side`.
        """
        known = self.entries if role == 'entry' else self.members
        return [
            member
            for member in known.values()
            if member.role == role and member.is_present()
        ]


def member_from_introduction(introduction: Introduction) -> Member:
    """Return the member record that an introduction describes.

    :param introduction: sent by the process itself.
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
        introduction.capacity,
    )


def with_capacity(member: Member, known: Member | None) -> Member:
    """Return a record with the capacity that is known of the same run.

    A process of an earlier version passes records on without it.

    :param member: a record.
    :param known: another record of its node, if there is any.
    """
    if (
        member.capacity
        or known is None
        or not known.capacity
        or member.incarnation != known.incarnation
    ):
        return member
    return member._replace(capacity=known.capacity)


def fingerprint(member: Member) -> int:
    """Return the contribution of a record to the digest; 0 if not present.

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
    """Return whether a record from a peer is well-formed.

    :param member: any record.
    """
    if not 0 <= member.capacity < math.inf:
        return False
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
        and _longest(texts) <= _MAX_TEXT_LENGTH
    )


def _longest(texts: Iterable[str]) -> int:
    """Return the length of the longest text."""
    return max(len(text) for text in texts)
