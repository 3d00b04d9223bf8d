"""The whole table of an entry, sent to an entry that joins or has diverged."""

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
    from jackdawridge.membership.state import Table
    from jackdawridge.wire.peers import Peer

logger = get_logger('membership')

#: Members in one part.
MEMBERS_A_PART = 128
#: Time between two parts of a table, in seconds.
PART_INTERVAL = 0.05
#: Most tables that are being sent at a time.
MAX_SENDINGS = 4
#: Longest part after decompression, in bytes.
MAX_PART_BYTES = 262144
#: An unanswered request is made again after this time, in seconds.
RETRY_AFTER = 5.0
#: Shortest time between two requests of a process that has joined, in
#: seconds.
REPAIR_INTERVAL = 30.0
#: Differing digests in a row after which the table is asked for.
MISMATCHES = 5


class TableExchange:
    """Asks for tables and sends them, in compressed parts at a limited rate.

    :param application: the process.
    :param table: of this process.
    :param receive: takes the members of a part.
    """

    def __init__(
        self,
        application: Application,
        table: Table,
        receive: Callable[[Peer, tuple[Member, ...]], None],
    ) -> None:
        """Start without a table of another."""
        self.application = application
        self.clock = application.clock
        self.table = table
        self.receive = receive
        #: Whether the table has agreed with that of another entry.
        self.joined = False
        self.asked: float | None = None
        self.mismatches = 0
        #: Links to which a table is being sent.
        self.sendings: set[object] = set()
        application.on_message(SyncRequest, self.request_received)
        application.on_message(TablePart, self.part_received)

    def ask(self, peer: Peer) -> None:
        """Ask for the table of an entry, unless that was done just now.

        :param peer: an entry.
        """
        now = self.clock.seconds()
        wait = REPAIR_INTERVAL if self.joined else RETRY_AFTER
        if self.asked is None or now - self.asked >= wait:
            self.asked = now
            self.mismatches = 0
            peer.send(SyncRequest(self.table.digest))

    def compare(self, peer: Peer, digest: int) -> None:
        """Ask for the table of an entry that keeps differing from this one.

        :param peer: an entry.
        :param digest: of its table.
        """
        if digest == self.table.digest:
            self.mismatches = 0
            self.joined = True
            return
        self.mismatches += 1
        if self.mismatches >= MISMATCHES or not self.joined:
            self.ask(peer)

    def request_received(self, peer: Peer, _: SyncRequest) -> None:
        """Begin to send the table.

        :param peer: an entry.
        """
        is_busy = len(self.sendings) >= MAX_SENDINGS
        if is_busy or peer.link in self.sendings:
            return
        self.sendings.add(peer.link)
        self.send_part(peer, tuple(self.table.members.values()))

    def send_part(self, peer: Peer, members: tuple[Member, ...]) -> None:
        """Send the next part of the table, and the rest later.

        :param peer: an entry.
        :param members: what is still to be sent.
        """
        part, rest = members[:MEMBERS_A_PART], members[MEMBERS_A_PART:]
        encoded = self.application.codec.encode(Gossip(part))
        message = TablePart(zlib.compress(encoded), not rest)
        if peer.send(message) and rest:
            self.clock.callLater(PART_INTERVAL, self.send_part, peer, rest)
        else:
            self.sendings.discard(peer.link)

    def part_received(self, peer: Peer, part: TablePart) -> None:
        """Take a part of a table.

        :param peer: an entry.
        :param part: the part.
        """
        try:
            gossip = self.decode(part.content, peer.name)
        except (WireError, zlib.error) as error:
            logger.warning(str(error), step='table part', peer=peer.name)
            peer.link.close('malformed table part')
            return
        self.receive(peer, gossip.members)
        if part.final:
            logger.info(
                'table received',
                peer=peer.name,
                members=len(self.table.members),
            )

    def decode(self, content: bytes, peer: str) -> Gossip:
        """Return the content of a part.

        :param content: compressed bytes.
        :param peer: named in the error.
        :raises WireError: if it is too long or no `Gossip`.
        """
        decompressor = zlib.decompressobj()
        encoded = decompressor.decompress(content, MAX_PART_BYTES)
        if not decompressor.eof:
            raise WireError(
                f'part is cut off or over {MAX_PART_BYTES} bytes',
                step='table part',
                peer=peer,
            )
        gossip = self.application.codec.decode(encoded, peer)
        if not isinstance(gossip, Gossip):
            raise WireError(
                'part holds no members', step='table part', peer=peer
            )
        return gossip
