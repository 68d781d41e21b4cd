"""Signed messages and replies between the VMs of the fleet."""

from jacinthcroft_daemon.internal.peers.client import NoPeerReply, PeerClient
from jacinthcroft_daemon.internal.peers.codec import (
    decode_message,
    encode_message,
    structure_message,
    unstructure_message,
)
from jacinthcroft_daemon.internal.peers.router import PeerRouter
from jacinthcroft_daemon.internal.peers.signing import Envelope, Signer

__all__ = (
    'Envelope',
    'PeerClient',
    'PeerRouter',
    'NoPeerReply',
    'Signer',
    'decode_message',
    'encode_message',
    'structure_message',
    'unstructure_message',
)
