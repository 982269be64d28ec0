"""Encoding of thrift messages for frames, datagrams and log records."""

import struct
from typing import TypeVar

from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.transport.TTransport import TMemoryBuffer

from filbertdrift.errors import MalformedMessage
from filbertdrift.gen import ttypes

MAX_FRAME_BYTES = 4_194_304
MAX_DATAGRAM_BYTES = 1200
LENGTH_BYTES = 4

Message = TypeVar('Message')

_LENGTH = struct.Struct('>I')
_PROTOCOL = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_FRAME_BYTES,
).getProtocol(TMemoryBuffer())
_FRAME_FIELDS = tuple(
    name for name in ttypes.Frame.__slots__ if name != 'call_id'
)
_DATAGRAM_FIELDS = tuple(
    name
    for name in ttypes.Datagram.__slots__
    if name not in {'sender', 'generation'}
)
_FRAME_FIELD_BY_TYPE = {
    ttypes.RequestOpen: 'request_open',
    ttypes.BodyChunk: 'body_chunk',
    ttypes.Credit: 'credit',
    ttypes.AnswerOpen: 'answer_open',
    ttypes.Refusal: 'refusal',
    ttypes.Cancel: 'cancel',
    ttypes.KeepAlive: 'keep_alive',
    ttypes.PullConfig: 'pull_config',
    ttypes.ConfigDelta: 'config_delta',
    ttypes.SyncMembers: 'sync_members',
    ttypes.MembersDelta: 'members_delta',
    ttypes.ClaimAsk: 'claim_ask',
    ttypes.ClaimVerdict: 'claim_verdict',
    ttypes.SyncCrashes: 'sync_crashes',
    ttypes.CrashesDelta: 'crashes_delta',
}
_DATAGRAM_FIELD_BY_TYPE = {
    ttypes.Ping: 'ping',
    ttypes.Ack: 'ack',
    ttypes.PingRequest: 'ping_request',
    ttypes.ConfigNotice: 'config_notice',
    ttypes.MemberNotice: 'member_notice',
    ttypes.CrashNotice: 'crash_notice',
}


def encode(message: object) -> bytes:
    """Serialize one thrift struct.

    Args:
        message: A struct of the generated module.

    Returns:
        Its compact encoding.
    """
    buffer = TMemoryBuffer()
    _PROTOCOL.trans = buffer
    message.write(_PROTOCOL)  # type: ignore[attr-defined]
    return buffer.getvalue()


def decode(kind: type[Message], payload: bytes) -> Message:
    """Deserialize one thrift struct.

    Args:
        kind: The struct's class.
        payload: The bytes of one whole message.

    Returns:
        The message.

    Raises:
        MalformedMessage: The bytes are not such a message.
    """
    message = kind()
    _PROTOCOL.trans = TMemoryBuffer(payload)
    try:
        message.read(_PROTOCOL)  # type: ignore[attr-defined]
    except Exception as exc:
        raise MalformedMessage(
            f'not a {kind.__name__}: {exc}',
            step='decode',
        ) from exc
    return message


def pack_frame(call_id: int, body: object) -> bytes:
    """Return the length-prefixed frame that carries a message.

    Args:
        call_id: The call on this connection, zero for none.
        body: A message that a frame may hold.

    Returns:
        Bytes to write to the connection.
    """
    frame = ttypes.Frame(call_id=call_id)
    setattr(frame, _FRAME_FIELD_BY_TYPE[type(body)], body)
    payload = encode(frame)
    return _LENGTH.pack(len(payload)) + payload


def frame_length(prefix: bytes) -> int:
    """Return the length of the frame behind a prefix.

    Args:
        prefix: The four bytes before a frame.

    Returns:
        The length in bytes.

    Raises:
        MalformedMessage: The length is over the limit.
    """
    length = _LENGTH.unpack(prefix)[0]
    if length > MAX_FRAME_BYTES:
        raise MalformedMessage(f'frame of {length} bytes', step='read frame')
    return int(length)


def unpack_frame(payload: bytes) -> tuple[int, object]:
    """Return the call id and the message of a frame.

    Args:
        payload: A frame without its length prefix.

    Returns:
        The call id and the message.

    Raises:
        MalformedMessage: The frame holds no known message.
    """
    frame = decode(ttypes.Frame, payload)
    return frame.call_id or 0, _single_field(frame, _FRAME_FIELDS)


def pack_datagram(sender: str, generation: int, body: object) -> bytes:
    """Return the datagram that carries a message.

    Args:
        sender: The sending node.
        generation: The sending node's generation.
        body: A message that a datagram may hold.

    Returns:
        Bytes to send.
    """
    datagram = ttypes.Datagram(sender=sender, generation=generation)
    setattr(datagram, _DATAGRAM_FIELD_BY_TYPE[type(body)], body)
    return encode(datagram)


def unpack_datagram(payload: bytes) -> tuple[str, int, object]:
    """Return the sender, its generation and the message of a datagram.

    Args:
        payload: One received datagram.

    Returns:
        Sender, generation and message.

    Raises:
        MalformedMessage: The datagram holds no known message.
    """
    datagram = decode(ttypes.Datagram, payload)
    if not datagram.sender:
        raise MalformedMessage('no sender', step='read datagram')
    body = _single_field(datagram, _DATAGRAM_FIELDS)
    return datagram.sender, datagram.generation or 0, body


def _single_field(message: object, names: tuple[str, ...]) -> object:
    for name in names:
        body = getattr(message, name)
        if body is not None:
            return body
    raise MalformedMessage('no known message', step='decode')
