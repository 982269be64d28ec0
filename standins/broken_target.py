"""A target whose responses are scripts: bytes, pauses, and how they end.

It runs in threads of its own, so that it goes on while an event loop in the
same process stands still.
"""

import contextlib
import enum
import socket
import struct
import threading
import time
from dataclasses import dataclass, field

HOST = '127.0.0.1'
# Replaced by the id of the request.
ID = b'<id>'
HEAD = b'HTTP/1.1 200 OK\r\nattempt-id: <id>\r\nserver-seal: s\r\n'
WHOLE = b'%scontent-length: 2\r\n\r\nok' % HEAD
READ_BYTES = 65_536
# So small that most of an upload waits in the buffers of its sender.
BUFFER_BYTES = 16_384
TIMEOUT_S = 10.0
MIN_WAIT_S = 0.001
_END_OF_HEAD = b'\r\n\r\n'
_ID_FIELD = b'\r\nattempt-id: '
_RESET = struct.pack('ii', 1, 0)


class Action(enum.Enum):
    """What a script does beside sending bytes; its end closes nothing."""

    # Waits until the test lets the script go on.
    HOLD = enum.auto()
    # A close with bytes unread, as of an upload, sends a reset as well.
    CLOSE = enum.auto()
    RESET = enum.auto()
    # The end of the stream, while the rest of the upload is still read.
    HALF_CLOSE = enum.auto()


@dataclass(frozen=True, slots=True)
class Endless:
    """Bytes that are sent again and again until the connection is closed.

    Args:
        unit: The bytes.
        pause_s: Pause after each.
    """

    unit: bytes
    pause_s: float = 0.0


Step = bytes | float | Endless | Action


@dataclass
class BrokenTarget:
    """A target that answers by a script.

    A request whose path has "/whole" gets a whole response, and its connection
    is kept.

    Args:
        script: What any other request gets: bytes, pauses in seconds, actions.
        reads_upload: The body is read during the pauses.
        may_go_on: Set for as long as scripts are not to be held.

    Attributes:
        received: The heads of the requests.
        sent_bytes: Number of bytes of scripts that were sent.
        is_held: Set when a script has come to its hold.
        has_ended: Set when a script has been played.
    """

    script: tuple[Step, ...] = ()
    reads_upload: bool = False
    may_go_on: threading.Event = field(default_factory=threading.Event)
    received: list[bytes] = field(default_factory=list)
    sent_bytes: int = 0
    is_held: threading.Event = field(default_factory=threading.Event)
    has_ended: threading.Event = field(default_factory=threading.Event)
    _listener: socket.socket | None = None
    _connections: set[socket.socket] = field(default_factory=set)

    def start(self) -> str:
        """Listen on a free port and return the address."""
        self.may_go_on.set()
        listener = socket.create_server((HOST, 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self._listener = listener
        _start_thread(self._accept, listener)
        return f'{HOST}:{listener.getsockname()[1]}'

    def close(self) -> None:
        """Stop listening and close the connections."""
        self.may_go_on.set()
        for sock in (self._listener, *self._connections):
            if sock:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
                sock.close()

    def play(self, *script: Step) -> None:
        """Replace the script."""
        self.script = script
        self.is_held.clear()
        self.has_ended.clear()

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while listener.fileno() >= 0:
                conn, _ = listener.accept()
                conn.settimeout(TIMEOUT_S)
                self._connections.add(conn)
                _start_thread(self._serve, conn)

    def _serve(self, conn: socket.socket) -> None:
        try:
            while conn.fileno() >= 0:
                self._answer(conn, self._read_head(conn))
        except OSError:
            """The other side has closed the connection."""
        finally:
            self.has_ended.set()

    def _answer(self, conn: socket.socket, head: bytes) -> None:
        if b'/whole' in head:
            conn.sendall(_address(WHOLE, head))
            return
        for step in self.script:
            self._take(step, conn, head)
        self.has_ended.set()

    def _read_head(self, conn: socket.socket) -> bytes:
        raw = b''
        while _END_OF_HEAD not in raw:
            received = conn.recv(READ_BYTES)
            if not received:
                raise ConnectionResetError('no request')
            raw += received
        head = raw.partition(_END_OF_HEAD)[0]
        self.received.append(head)
        return head

    def _take(self, step: Step, conn: socket.socket, head: bytes) -> None:
        match step:
            case bytes():
                self._send(conn, _address(step, head))
            case float():
                self._pause(conn, step)
            case Endless():
                self._send_endless(conn, step)
            case Action.HOLD:
                self.is_held.set()
                self.may_go_on.wait(TIMEOUT_S)
            case Action.HALF_CLOSE:
                self._half_close(conn)
            case Action.RESET:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                conn.close()
            case Action.CLOSE:
                conn.close()

    def _send_endless(self, conn: socket.socket, step: Endless) -> None:
        while conn.fileno() >= 0:
            self._send(conn, step.unit)
            time.sleep(step.pause_s)

    def _half_close(self, conn: socket.socket) -> None:
        conn.shutdown(socket.SHUT_WR)
        self.has_ended.set()
        while conn.recv(READ_BYTES):
            """Drop the rest of the upload."""

    def _send(self, conn: socket.socket, raw: bytes) -> None:
        conn.sendall(raw)
        self.sent_bytes += len(raw)

    def _pause(self, conn: socket.socket, pause_s: float) -> None:
        ends_at = time.monotonic() + pause_s
        if self.reads_upload:
            self._read_until(conn, ends_at)
        time.sleep(max(ends_at - time.monotonic(), 0))

    def _read_until(self, conn: socket.socket, ends_at: float) -> None:
        with contextlib.suppress(TimeoutError):
            while time.monotonic() < ends_at:
                conn.settimeout(max(ends_at - time.monotonic(), MIN_WAIT_S))
                conn.recv(READ_BYTES)
        conn.settimeout(TIMEOUT_S)


def _address(raw: bytes, head: bytes) -> bytes:
    """Return bytes with the id of the request in its place."""
    request_id = head.lower().partition(_ID_FIELD)[2].partition(b'\r\n')[0]
    return raw.replace(ID, request_id)


def _start_thread(work: object, *args: object) -> None:
    threading.Thread(target=work, args=args, daemon=True).start()  # type: ignore[arg-type]
