"""Transfer of whole member tables between entries.

An entry requests a table when it joins and when its own table has diverged.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from jackdawridge.errors import WireError
from jackdawridge.logs import get_logger
from jackdawridge.membership.messages import Gossip, SyncRequest, TablePart

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.application import Application
    from jackdawridge.membership.messages import Member
    from jackdawridge.membership.table import MemberTable
    from jackdawridge.wire.peers import Peer

logger = get_logger('membership')

#: Member records in one part of a table.
MEMBERS_PER_PART = 128
#: Delay between two parts of a table, in seconds.
PART_INTERVAL = 0.05
#: Maximum number of tables being sent at a time.
MAX_TRANSFERS = 4
#: Maximum size of a decompressed part, in bytes.
MAX_PART_BYTES = 262144
#: Minimum interval between table requests before this process has joined, in
#: seconds.
JOIN_RETRY_INTERVAL = 5.0
#: Minimum interval between table requests once this process has joined, in
#: seconds.
REPAIR_INTERVAL = 30.0
#: Consecutive differing digests after which a table is requested.
MISMATCH_LIMIT = 5


class TableExchange:
    """Requests member tables and sends them in compressed, paced parts.

    :param application: the process.
    :param table: the member table of this process.
    :param merge_members: merges the members of a received part.
    """

    def __init__(
        self,
        application: Application,
        table: MemberTable,
        merge_members: Callable[[Peer, tuple[Member, ...]], None],
    ) -> None:
        """Register the message handlers."""
        self.application = application
        self.clock = application.clock
        self.table = table
        self.merge_members = merge_members
        #: Whether the digest of another entry has matched the own one.
        self.has_joined = False
        #: Time of the last table request, in seconds.
        self.last_request_at: float | None = None
        #: Consecutive digests that differed from the own one.
        self.mismatches = 0
        #: Links over which a table is being sent.
        self.transfers: set[object] = set()
        application.on_message(SyncRequest, self.request_received)
        application.on_message(TablePart, self.part_received)

    def request_table(self, peer: Peer) -> None:
        """Request the table of an entry, at a limited rate.

        :param peer: the entry.
        """
        now = self.clock.seconds()
        wait = REPAIR_INTERVAL if self.has_joined else JOIN_RETRY_INTERVAL
        if self.last_request_at is None or now - self.last_request_at >= wait:
            self.last_request_at = now
            self.mismatches = 0
            peer.send(SyncRequest(self.table.digest))

    def compare_digest(self, peer: Peer, digest: int) -> None:
        """Request the table of an entry if its digest keeps differing.

        Before this process has joined, the first difference is enough.

        :param peer: the entry.
        :param digest: the digest of its table.
        """
        if digest == self.table.digest:
            self.mismatches = 0
            self.has_joined = True
            return
        self.mismatches += 1
        if self.mismatches >= MISMATCH_LIMIT or not self.has_joined:
            self.request_table(peer)

    def request_received(self, peer: Peer, _: SyncRequest) -> None:
        """Start to send the table unless too many transfers are running.

        :param peer: the entry that requested it.
        """
        is_at_limit = len(self.transfers) >= MAX_TRANSFERS
        if is_at_limit or peer.link in self.transfers:
            return
        self.transfers.add(peer.link)
        self.send_part(peer, tuple(self.table.members.values()))

    def send_part(self, peer: Peer, members: tuple[Member, ...]) -> None:
        """Send the next part of the table and schedule the rest.

        :param peer: the receiver.
        :param members: the records still to be sent.
        """
        part, rest = members[:MEMBERS_PER_PART], members[MEMBERS_PER_PART:]
        encoded = self.application.codec.encode(Gossip(part))
        message = TablePart(zlib.compress(encoded), not rest)
        if peer.send(message) and rest:
            self.clock.callLater(PART_INTERVAL, self.send_part, peer, rest)
        else:
            self.transfers.discard(peer.link)

    def part_received(self, peer: Peer, part: TablePart) -> None:
        """Merge a part of a table; close the link if it is malformed.

        :param peer: the entry that sent it.
        :param part: the message.
        """
        try:
            gossip = self.decode(part.content, peer.name)
        except (WireError, zlib.error) as error:
            logger.warning(str(error), step='table part', peer=peer.name)
            peer.link.close('malformed table part')
            return
        self.merge_members(peer, gossip.members)
        if part.final:
            logger.info(
                'table received',
                peer=peer.name,
                members=len(self.table.members),
            )

    def decode(self, content: bytes, peer: str) -> Gossip:
        """Decompress and decode the content of a part.

        :param content: the compressed bytes.
        :param peer: name of the sender, for the error.
        :raises WireError: if the content is truncated, too long or not a
            `Gossip` message.
        """
        decompressor = zlib.decompressobj()
        encoded = decompressor.decompress(content, MAX_PART_BYTES)
        if not decompressor.eof:
            raise WireError(
                f'part is truncated or longer than {MAX_PART_BYTES} bytes',
                step='table part',
                peer=peer,
            )
        gossip = self.application.codec.decode(encoded, peer)
        if not isinstance(gossip, Gossip):
            raise WireError(
                'part is not a Gossip message', step='table part', peer=peer
            )
        return gossip
