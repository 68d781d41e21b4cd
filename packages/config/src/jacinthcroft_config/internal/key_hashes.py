"""Hashes of callers' keys; a key is published and stored only as its hash."""

import hashlib


def hash_key(key: str) -> str:
    """Returns the lower-case hexadecimal SHA-256 digest of a key."""
    return hashlib.sha256(key.encode('utf-8', 'surrogatepass')).hexdigest()
