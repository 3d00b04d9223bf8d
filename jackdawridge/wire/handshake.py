"""Mutual authentication of two processes by a shared key.

The acceptor sends a challenge, the dialer answers with a nonce and its proof,
and the acceptor replies with its own proof. Every frame starts with the
protocol version and a digest of the deployment's name. No message is read
before the handshake is complete.
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

#: Maximum length of a handshake frame, in bytes.
MAX_HANDSHAKE_FRAME_BYTES = 128


class Credentials(NamedTuple):
    """Deployment and key, which both ends of a link must share."""

    deployment: str
    shared_key: str

    def prefix(self) -> bytes:
        """Return the bytes with which every handshake frame starts."""
        digest = hashlib.blake2b(
            self.deployment.encode(), digest_size=_DEPLOYMENT_BYTES
        )
        return PROTOCOL_VERSION + digest.digest()

    def compute_proof(
        self, role: bytes, challenge: bytes, nonce: bytes
    ) -> bytes:
        """Return the proof that one end knows the shared key.

        :param role: `dial` or `accept`, the end that sends the proof.
        :param challenge: nonce of the acceptor.
        :param nonce: nonce of the dialer.
        """
        return hmac.digest(
            self.shared_key.encode(),
            self.prefix() + role + challenge + nonce,
            'sha256',
        )


class Acceptor:
    """Handshake of the end that has accepted the connection.

    :param credentials: deployment and key that the peer must share.
    """

    def __init__(self, credentials: Credentials) -> None:
        """Generate a random challenge."""
        self.credentials = credentials
        self.challenge = secrets.token_bytes(_NONCE_BYTES)

    def challenge_frame(self) -> bytes:
        """Return the first frame of the handshake."""
        return self.credentials.prefix() + self.challenge

    def verify_answer(self, frame: bytes, peer: str) -> bytes:
        """Verify the dialer's proof and return the frame with this end's.

        :param frame: the dialer's answer to the challenge.
        :param peer: address of the dialer, for the error.
        :raises WireError: if the protocol version, the deployment or the
            shared key differs.
        """
        body = _strip_prefix(self.credentials, frame, peer)
        nonce, proof = body[:_NONCE_BYTES], body[_NONCE_BYTES:]
        expected = self.credentials.compute_proof(
            b'dial', self.challenge, nonce
        )
        _check_proof(expected, proof, peer)
        own_proof = self.credentials.compute_proof(
            b'accept', self.challenge, nonce
        )
        return self.credentials.prefix() + own_proof


class Dialer:
    """Handshake of the end that has opened the connection.

    :param credentials: deployment and key that the peer must share.
    """

    def __init__(self, credentials: Credentials) -> None:
        """Generate a random nonce."""
        self.credentials = credentials
        self.nonce = secrets.token_bytes(_NONCE_BYTES)
        self.challenge = b''

    def answer_challenge(self, frame: bytes, peer: str) -> bytes:
        """Check the acceptor's challenge and return the answer to it.

        :param frame: the acceptor's first frame.
        :param peer: address of the acceptor, for the error.
        :raises WireError: if the protocol version or the deployment differs
            or the challenge is malformed.
        """
        challenge = _strip_prefix(self.credentials, frame, peer)
        if len(challenge) != _NONCE_BYTES:
            raise WireError(
                'handshake challenge has the wrong length',
                step=_STEP,
                peer=peer,
            )
        self.challenge = challenge
        proof = self.credentials.compute_proof(b'dial', challenge, self.nonce)
        return self.credentials.prefix() + self.nonce + proof

    def verify_acceptor(self, frame: bytes, peer: str) -> None:
        """Verify the acceptor's proof.

        :param frame: the acceptor's last frame.
        :param peer: address of the acceptor, for the error.
        :raises WireError: if the protocol version, the deployment or the
            shared key differs.
        """
        proof = _strip_prefix(self.credentials, frame, peer)
        expected = self.credentials.compute_proof(
            b'accept', self.challenge, self.nonce
        )
        _check_proof(expected, proof, peer)


def _strip_prefix(credentials: Credentials, frame: bytes, peer: str) -> bytes:
    """Return a frame without its prefix.

    Raises `WireError` if the protocol version or the deployment differs.
    """
    version = frame[: len(PROTOCOL_VERSION)]
    if version != PROTOCOL_VERSION:
        raise WireError(
            f'protocol version {version!r} is not {PROTOCOL_VERSION!r}',
            step=_STEP,
            peer=peer,
        )
    if frame[:_PREFIX_BYTES] != credentials.prefix():
        raise WireError(
            f'peer does not belong to deployment {credentials.deployment!r}',
            step=_STEP,
            peer=peer,
        )
    return frame[_PREFIX_BYTES:]


def _check_proof(expected: bytes, proof: bytes, peer: str) -> None:
    """Raise `WireError` unless a proof is the expected one."""
    if not hmac.compare_digest(expected, proof):
        raise WireError('shared key of the peer differs', step=_STEP, peer=peer)
