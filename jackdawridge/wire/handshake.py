"""Mutual proof of a shared key before any message is read.

The acceptor opens with a challenge, the dialer answers with its own nonce and
a proof, and the acceptor closes the exchange with its proof. Every frame
starts with the protocol version and a digest of the deployment's name.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import NamedTuple

from jackdawridge.errors import WireError

#: Version of the protocol between the system's processes.
PROTOCOL_VERSION = b'JDRIDGE1'

_NONCE_BYTES = 16
_DEPLOYMENT_BYTES = 8
_STEP = 'handshake'
_PREFIX_BYTES = len(PROTOCOL_VERSION) + _DEPLOYMENT_BYTES

#: Longest frame of the handshake, in bytes.
MAX_FRAME_BYTES = 128


class Identity(NamedTuple):
    """What both ends of a link must share."""

    deployment: str
    shared_key: str

    def prefix(self) -> bytes:
        """Return the first bytes of every frame of the handshake."""
        digest = hashlib.blake2b(
            self.deployment.encode(), digest_size=_DEPLOYMENT_BYTES
        )
        return PROTOCOL_VERSION + digest.digest()

    def prove(self, role: bytes, challenge: bytes, nonce: bytes) -> bytes:
        """Return the proof of one end.

        :param role: `dial` or `accept`.
        :param challenge: the acceptor's nonce.
        :param nonce: the dialer's nonce.
        """
        return hmac.digest(
            self.shared_key.encode(),
            self.prefix() + role + challenge + nonce,
            'sha256',
        )


class Acceptor:
    """The end that a peer has connected to.

    :param identity: what the peer must share.
    """

    def __init__(self, identity: Identity) -> None:
        """Draw the challenge."""
        self.identity = identity
        self.challenge = secrets.token_bytes(_NONCE_BYTES)

    def opening(self) -> bytes:
        """Return the first frame."""
        return self.identity.prefix() + self.challenge

    def receive(self, frame: bytes, peer: str) -> bytes:
        """Check the dialer's frame and return the closing frame.

        :param frame: the dialer's answer to the opening.
        :param peer: named in the error.
        :raises WireError: if the peer does not share the identity.
        """
        body = _body(self.identity, frame, peer)
        nonce, proof = body[:_NONCE_BYTES], body[_NONCE_BYTES:]
        expected = self.identity.prove(b'dial', self.challenge, nonce)
        _compare(expected, proof, peer)
        closing = self.identity.prove(b'accept', self.challenge, nonce)
        return self.identity.prefix() + closing


class Dialer:
    """The end that has opened the connection.

    :param identity: what the peer must share.
    """

    def __init__(self, identity: Identity) -> None:
        """Draw the nonce."""
        self.identity = identity
        self.nonce = secrets.token_bytes(_NONCE_BYTES)
        self.challenge = b''

    def answer(self, frame: bytes, peer: str) -> bytes:
        """Check the opening frame and return the answer.

        :param frame: the acceptor's opening.
        :param peer: named in the error.
        :raises WireError: if the frame is not an opening of this deployment.
        """
        challenge = _body(self.identity, frame, peer)
        if len(challenge) != _NONCE_BYTES:
            raise WireError('malformed challenge', step=_STEP, peer=peer)
        self.challenge = challenge
        proof = self.identity.prove(b'dial', challenge, self.nonce)
        return self.identity.prefix() + self.nonce + proof

    def finish(self, frame: bytes, peer: str) -> None:
        """Check the closing frame.

        :param frame: the acceptor's closing.
        :param peer: named in the error.
        :raises WireError: if the acceptor does not share the key.
        """
        proof = _body(self.identity, frame, peer)
        expected = self.identity.prove(b'accept', self.challenge, self.nonce)
        _compare(expected, proof, peer)


def _body(identity: Identity, frame: bytes, peer: str) -> bytes:
    """Return a frame without its prefix, which must be the expected one."""
    version = frame[: len(PROTOCOL_VERSION)]
    if version != PROTOCOL_VERSION:
        raise WireError(
            f'protocol version {version!r} is not {PROTOCOL_VERSION!r}',
            step=_STEP,
            peer=peer,
        )
    if frame[:_PREFIX_BYTES] != identity.prefix():
        raise WireError(
            f'peer is not of deployment {identity.deployment!r}',
            step=_STEP,
            peer=peer,
        )
    return frame[_PREFIX_BYTES:]


def _compare(expected: bytes, proof: bytes, peer: str) -> None:
    """Raise unless a proof is the expected one."""
    if not hmac.compare_digest(expected, proof):
        raise WireError('shared key differs', step=_STEP, peer=peer)
