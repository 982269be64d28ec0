"""Rendezvous ranking: who of the live members does a shared piece of work."""

import functools
import hashlib
from collections.abc import Iterable, Sequence

WEIGHTS_KEPT = 65_536
_HASH_BYTES = 8


def rank(key: str, nodes: Iterable[str]) -> Sequence[str]:
    """Return nodes in the order of their weight for a key.

    Args:
        key: The piece of work.
        nodes: The candidates.

    Returns:
        All candidates, the first to do the work first.
    """
    return sorted(nodes, key=lambda node: (_weight(key, node), node))


@functools.lru_cache(maxsize=WEIGHTS_KEPT)
def _weight(key: str, node: str) -> bytes:
    return hashlib.blake2b(
        f'{key}\0{node}'.encode(),
        digest_size=_HASH_BYTES,
    ).digest()
