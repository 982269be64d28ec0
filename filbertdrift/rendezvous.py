"""Rendezvous hashing: selects the nodes that do a shared task."""

import functools
import hashlib
from collections.abc import Iterable, Sequence

MAX_CACHED_WEIGHTS = 65_536
_HASH_BYTES = 8


def rank(key: str, nodes: Iterable[str]) -> Sequence[str]:
    """Return nodes in the order of their weight for a key.

    Args:
        key: The name of the task.
        nodes: The candidates.

    Returns:
        All candidates, the preferred node first.
    """
    return sorted(nodes, key=lambda node: (_weight(key, node), node))


@functools.lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def _weight(key: str, node: str) -> bytes:
    return hashlib.blake2b(
        f'{key}\0{node}'.encode(),
        digest_size=_HASH_BYTES,
    ).digest()
