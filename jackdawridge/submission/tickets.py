"""Tickets, which name the incarnation of the entry that may run their tasks."""

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
    """A submission id issued by one run of an entry."""

    #: Peer address of the entry, `ip:port`.
    address: str
    #: Random id of that run of the entry.
    incarnation: str
    sequence: int
    #: The whole ticket, as callers use it.
    text: str


class TicketFormat:
    """Encodes and decodes tickets, which are authenticated by the shared key.

    :param shared_key: key that all processes of the deployment have.
    """

    def __init__(self, shared_key: str) -> None:
        """Encode the key."""
        self.key = shared_key.encode()

    def write(self, address: str, incarnation: str, sequence: int) -> str:
        """Return the text of a ticket.

        :param address: peer address of the issuing entry.
        :param incarnation: incarnation of the issuing entry.
        :param sequence: number that is unique within the incarnation.
        """
        head = _SEPARATOR.join((address, incarnation, str(sequence)))
        return f'{head}{_SEPARATOR}{self.authenticate(head)}'

    def read(self, text: str) -> Result[Ticket, str]:
        """Return the parts of a ticket, or why the text isn't one.

        :param text: text from a caller.
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
        """Return the authentication code of a ticket.

        :param head: the ticket without its last field.
        """
        digest = hmac.digest(self.key, head.encode(), 'sha256')
        return digest[:_MAC_BYTES].hex()


class TicketRegister:
    """The unused tickets of one incarnation.

    A ticket that isn't in the register was used or has expired. No task is
    started under it any more.

    :param ticket_format: encodes the tickets.
    :param address: peer address of this entry.
    :param incarnation: incarnation of this entry.
    :param limit: highest number of unused tickets; the oldest expires beyond
        it.
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
        """Remove a ticket from the register.

        :param text: ticket of this incarnation.
        :returns: whether it was unused; only then may its tasks start.
        """
        if text not in self.unused:
            return False
        self.unused.pop(text)
        return True

    def restore(self, text: str) -> None:
        """Put a ticket back under which no task was started.

        :param text: ticket that `use` has removed.
        """
        self.unused[text] = None


def write_caller_ticket(address: str, incarnation: str, job_id: str) -> str:
    """Return the ticket of a job whose id the caller has chosen.

    :param address: peer address of the entry that owns the job.
    :param incarnation: incarnation of that entry.
    :param job_id: id that the caller has chosen, without separators.
    """
    return _SEPARATOR.join((address, incarnation, '', job_id))


def job_id_of(ticket: str) -> str:
    """Return the id that the caller has chosen, empty if there is none.

    :param ticket: any text.
    """
    parts = ticket.split(_SEPARATOR)
    return parts[-1] if len(parts) == _FIELDS else ''


def incarnation_of(ticket: str) -> str:
    """Return the incarnation that a ticket names, empty if there is none.

    :param ticket: any text; it isn't authenticated.
    """
    parts = ticket.split(_SEPARATOR)
    return parts[1] if len(parts) == _FIELDS else ''
