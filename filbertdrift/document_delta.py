"""Differences between two versions of a document, as edits of its bytes.

A delta is a list of ranges to copy from the old document and of bytes to
insert. It carries a digest of the result, so that a delta that is applied to
another document is detected. It depends on no particular document format.
"""

import hashlib
import struct
import zlib
from collections.abc import Iterator

from filbertdrift.errors import MalformedMessage

# Ends the parts of a document that are compared; in JSON, that of an object.
SEPARATOR = b'}'
DIGEST_BYTES = 8
MAX_DOCUMENT_BYTES = 16_777_216

# Start and length of the range to copy, length of the bytes inserted after it.
_EDIT = struct.Struct('>III')


def encode_delta(old: bytes, new: bytes) -> bytes:
    """Return the delta that turns one document into another.

    Args:
        old: The document that the receiver has.
        new: The document that it needs.
    """
    edits = b''.join(
        _EDIT.pack(start, length, len(inserted)) + inserted
        for start, length, inserted in _compare(old, new)
    )
    return document_digest(new) + zlib.compress(edits)


def apply_delta(old: bytes, delta: bytes) -> bytes:
    """Return the new document.

    Args:
        old: The document that the delta was computed from.
        delta: The delta.

    Raises:
        MalformedMessage: The delta is damaged or belongs to another document.
    """
    try:
        new = _apply_edits(old, _decompress(delta[DIGEST_BYTES:]))
    except (zlib.error, struct.error) as exc:
        raise MalformedMessage(str(exc), step='apply delta') from exc
    if document_digest(new) != delta[:DIGEST_BYTES]:
        raise MalformedMessage('of another document', step='apply delta')
    return new


def document_digest(document: bytes) -> bytes:
    """Return the digest of a document, of DIGEST_BYTES bytes."""
    return hashlib.blake2b(document, digest_size=DIGEST_BYTES).digest()


def _compare(old: bytes, new: bytes) -> Iterator[tuple[int, int, bytes]]:
    """Yield ranges of the old document and what is inserted after each.

    Parts that occur in the old document are copied, wherever they are, and
    adjacent ones together.
    """
    position_of: dict[bytes, int] = {}
    position = 0
    for part in old.split(SEPARATOR):
        position_of.setdefault(part, position)
        position += len(part) + len(SEPARATOR)
    start, end = 0, 0
    inserted = bytearray()
    for part in new.split(SEPARATOR):
        piece = part + SEPARATOR
        if not inserted and old.startswith(piece, end):
            end += len(piece)
            continue
        found = position_of.get(part, -1)
        if found >= 0 and old.startswith(piece, found):
            yield start, end - start, bytes(inserted)
            inserted.clear()
            start, end = found, found + len(piece)
        else:
            inserted += piece
    yield start, end - start, bytes(inserted)


def _apply_edits(old: bytes, edits: bytes) -> bytes:
    pieces = []
    offset = 0
    while offset < len(edits):
        start, length, inserted = _EDIT.unpack_from(edits, offset)
        offset += _EDIT.size
        pieces.append(old[start : start + length])
        pieces.append(edits[offset : offset + inserted])
        offset += inserted
    # The comparison adds a separator to each part, the last one included.
    return b''.join(pieces).removesuffix(SEPARATOR)


def _decompress(raw: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    edits = decompressor.decompress(raw, MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise MalformedMessage('too large', step='apply delta')
    return edits
