"""Thrift encoding of messages in frames, datagrams and log records.

On a connection, messages travel in frames: a length prefix of four bytes,
then a Frame struct with a call id and one message.
"""

import struct
from typing import TypeVar

from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.transport.TTransport import TMemoryBuffer

from filbertdrift.errors import MalformedMessage, UnsendableMessage
from filbertdrift.gen import ttypes

MAX_FRAME_BYTES = 4_194_304
MAX_DATAGRAM_BYTES = 1200
LENGTH_BYTES = 4

Message = TypeVar('Message')

_LENGTH_PREFIX = struct.Struct('>I')
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
    ttypes.RunOverdue: 'run_overdue',
}
_DATAGRAM_FIELD_BY_TYPE = {
    ttypes.Ping: 'ping',
    ttypes.Ack: 'ack',
    ttypes.PingRequest: 'ping_request',
    ttypes.ConfigNotice: 'config_notice',
    ttypes.MemberNotice: 'member_notice',
    ttypes.CrashNotice: 'crash_notice',
    ttypes.RolloutReport: 'rollout_report',
    ttypes.RolloutNotice: 'rollout_notice',
    ttypes.QuotaAsk: 'quota_ask',
    ttypes.QuotaGrant: 'quota_grant',
    ttypes.LoanAsk: 'loan_ask',
    ttypes.LoanGrant: 'loan_grant',
    ttypes.TargetNotice: 'target_notice',
}


def encode(message: object) -> bytes:
    """Serialize one thrift struct.

    Args:
        message: A struct of the generated `ttypes` module.

    Returns:
        The struct in thrift's compact protocol.

    Raises:
        UnsendableMessage: A value is out of the range of its field.
    """
    buffer = TMemoryBuffer()
    _PROTOCOL.trans = buffer
    try:
        message.write(_PROTOCOL)  # type: ignore[attr-defined]
    except Exception as exc:
        raise UnsendableMessage(repr(exc), step='encode') from exc
    return buffer.getvalue()


def decode(kind: type[Message], payload: bytes) -> Message:
    """Deserialize one thrift struct.

    Args:
        kind: The class of the struct.
        payload: The encoding of one whole struct.

    Returns:
        The decoded struct.

    Raises:
        MalformedMessage: The bytes do not decode to such a struct.
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
    """Encode a message as a frame with its length prefix.

    Args:
        call_id: The call that the message belongs to, zero for none.
        body: A message of a type that frames carry.

    Returns:
        Bytes to write to the connection.
    """
    frame = ttypes.Frame(call_id=call_id)
    setattr(frame, _FRAME_FIELD_BY_TYPE[type(body)], body)
    payload = encode(frame)
    return _LENGTH_PREFIX.pack(len(payload)) + payload


def parse_frame_length(prefix: bytes) -> int:
    """Parse the length prefix of a frame.

    Args:
        prefix: The four bytes before a frame.

    Returns:
        The length of the frame without its prefix, in bytes.

    Raises:
        MalformedMessage: The length exceeds `MAX_FRAME_BYTES`.
    """
    length = _LENGTH_PREFIX.unpack(prefix)[0]
    if length > MAX_FRAME_BYTES:
        raise MalformedMessage(f'frame of {length} bytes', step='read frame')
    return int(length)


def unpack_frame(payload: bytes) -> tuple[int, object]:
    """Decode a frame.

    Args:
        payload: The frame without its length prefix.

    Returns:
        The call id and the message.

    Raises:
        MalformedMessage: The frame holds no message of a known type.
    """
    frame = decode(ttypes.Frame, payload)
    return frame.call_id or 0, _get_only_field(frame, _FRAME_FIELDS)


def pack_datagram(sender: str, generation: int, body: object) -> bytes:
    """Encode a message as a datagram.

    Args:
        sender: The address of the sending node.
        generation: The sending node's generation.
        body: A message of a type that datagrams carry.

    Returns:
        Bytes to send.
    """
    datagram = ttypes.Datagram(sender=sender, generation=generation)
    setattr(datagram, _DATAGRAM_FIELD_BY_TYPE[type(body)], body)
    return encode(datagram)


def unpack_datagram(payload: bytes) -> tuple[str, int, object]:
    """Decode a datagram.

    Args:
        payload: One received datagram.

    Returns:
        The sender's address, its generation and the message.

    Raises:
        MalformedMessage: The datagram has no sender or no message of a known
            type.
    """
    datagram = decode(ttypes.Datagram, payload)
    if not datagram.sender:
        raise MalformedMessage('no sender', step='read datagram')
    body = _get_only_field(datagram, _DATAGRAM_FIELDS)
    return datagram.sender, datagram.generation or 0, body


def _get_only_field(message: object, names: tuple[str, ...]) -> object:
    for name in names:
        body = getattr(message, name)
        if body is not None:
            return body
    raise MalformedMessage('no known message', step='decode')
