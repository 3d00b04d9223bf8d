"""Tickets, which name the entry incarnation that may start their tasks."""

from __future__ import annotations

import hmac
from collections import OrderedDict
from typing import NamedTuple

from result import Err, Ok, Result

_MAC_BYTES = 8
_SEPARATOR = '~'
_FIELDS = 4
#: Longest accepted ticket, in characters.
MAX_TICKET_LENGTH = 160


class Ticket(NamedTuple):
    """A submission id that was issued by one run of one entry."""

    #: Peer address of the entry, `ip:port`.
    address: str
    #: Random id of the run of the entry.
    incarnation: str
    sequence: int
    #: The whole ticket as the caller knows it.
    text: str


class TicketFormat:
    """Writes and reads tickets, which are protected by the shared key.

    :param shared_key: known to all processes of the deployment.
    """

    def __init__(self, shared_key: str) -> None:
        """Keep the key."""
        self.key = shared_key.encode()

    def write(self, address: str, incarnation: str, sequence: int) -> str:
        """Return the text of a ticket.

        :param address: peer address of the issuing entry.
        :param incarnation: of the issuing entry.
        :param sequence: unique within the incarnation.
        """
        head = _SEPARATOR.join((address, incarnation, str(sequence)))
        return f'{head}{_SEPARATOR}{self.authenticate(head)}'

    def read(self, text: str) -> Result[Ticket, str]:
        """Return the parts of a ticket, or why it is not one.

        :param text: from a caller.
        """
        parts = text[:MAX_TICKET_LENGTH].split(_SEPARATOR)
        if len(parts) != _FIELDS or not parts[2].isdecimal():
            return Err(f'{text[:MAX_TICKET_LENGTH]!r} is not a ticket')
        address, incarnation, sequence, code = parts
        head = _SEPARATOR.join((address, incarnation, sequence))
        genuine = self.authenticate(head).encode()
        if not hmac.compare_digest(genuine, code.encode()):
            return Err(f'ticket {text!r} was not issued by this deployment')
        return Ok(Ticket(address, incarnation, int(sequence), text))

    def authenticate(self, head: str) -> str:
        """Return the code that proves who has issued a ticket.

        :param head: the ticket without its last field.
        """
        digest = hmac.digest(self.key, head.encode(), 'sha256')
        return digest[:_MAC_BYTES].hex()


class TicketRegister:
    """The unused tickets of one incarnation.

    A ticket that is not in the register was used or has expired, and never
    starts anything.

    :param limit: most unused tickets; the oldest expires beyond it.
    """

    def __init__(
        self,
        ticket_format: TicketFormat,
        address: str,
        incarnation: str,
        limit: int,
    ) -> None:
        """Start without tickets."""
        self.format = ticket_format
        self.address = address
        self.incarnation = incarnation
        self.limit = limit
        self.sequence = 0
        self.unused: OrderedDict[str, None] = OrderedDict()

    def issue(self) -> str:
        """Return a new ticket."""
        self.sequence += 1
        text = self.format.write(self.address, self.incarnation, self.sequence)
        self.unused[text] = None
        if len(self.unused) > self.limit:
            self.unused.popitem(last=False)
        return text

    def use(self, text: str) -> bool:
        """Take a ticket out of the register.

        :param text: a ticket of this incarnation.
        :returns: whether it was unused; only then may its tasks start.
        """
        if text not in self.unused:
            return False
        self.unused.pop(text)
        return True

    def restore(self, text: str) -> None:
        """Put a ticket back under which nothing was started.

        :param text: that `use` has taken out.
        """
        self.unused[text] = None


def write_caller_ticket(address: str, incarnation: str, job_id: str) -> str:
    """Return the ticket of a job whose id the caller has chosen.

    :param address: peer address of the entry that owns the job.
    :param incarnation: of the entry.
    :param job_id: chosen by the caller, without separators.
    """
    return _SEPARATOR.join((address, incarnation, '', job_id))


def job_id_of(ticket: str) -> str:
    """Return the id that the caller has chosen, empty if it has none.

    :param ticket: text that need not be a ticket.
    """
    parts = ticket.split(_SEPARATOR)
    return parts[-1] if len(parts) == _FIELDS else ''


def incarnation_of(ticket: str) -> str:
    """Return the incarnation in a ticket's text, empty if it has none.

    :param ticket: text that need not be a genuine ticket.
    """
    parts = ticket.split(_SEPARATOR)
    return parts[1] if len(parts) == _FIELDS else ''
