"""The body of a target's answer, by which a caller knows its own answer."""

import hashlib
import json

from attrs import asdict, frozen

_FILLER_UNIT_BYTES = 64


@frozen
class AnswerBody:
    """States the request that it answers; `digest` covers all the rest."""

    request_id: str
    path: str
    filler: str
    digest: str

    @classmethod
    def for_request(
        cls,
        request_id: str,
        path: str,
        filler_bytes: int,
    ) -> 'AnswerBody':
        """Makes the answer to a request with a filler of the given size."""
        unit = hashlib.sha256(path.encode()).hexdigest()
        filler = unit * (filler_bytes // _FILLER_UNIT_BYTES + 1)
        filler = filler[:filler_bytes]
        return cls(request_id, path, filler, _digest(request_id, path, filler))

    @classmethod
    def from_bytes(cls, body: bytes) -> 'AnswerBody | None':
        """Reads an answer, None when it is torn or no such answer."""
        try:
            return cls(**json.loads(body))
        except (ValueError, TypeError):
            return None

    @property
    def is_whole(self) -> bool:
        """Whether the digest fits what came."""
        expected = _digest(self.request_id, self.path, self.filler)
        return self.digest == expected

    def to_bytes(self) -> bytes:
        """Returns the body as a target sends it."""
        return json.dumps(asdict(self)).encode()


def _digest(*parts: str) -> str:
    return hashlib.sha256('\n'.join(parts).encode()).hexdigest()
