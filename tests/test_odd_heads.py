"""Responses in whose head a name or a length is invalid reach nobody."""

import asyncio
import time
from collections.abc import Iterator

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from filbertdrift import http1
from filbertdrift.errors import MalformedMessage
from filbertdrift.keyedlog import KeyedRecord
from filbertdrift.log import HttpLog
from filbertdrift.platform.store import StoreLog
from filbertdrift.target import HttpTarget
from standins.broken_target import HEAD, BrokenTarget
from tests.broken_mesh import (
    RUNNERS,
    UPLOAD,
    Answer,
    Place,
    call,
    find_error,
    library_port,
    node_beside,
    node_elsewhere,
)

LENGTH = b'content-length: 2\r\n'
NAMES = (
    b'x-note',
    b'content-length',
    b'transfer-encoding',
    b'connection',
    b'attempt-id',
    b'server-seal',
    b'not-executed',
)
# Everything that is no token (RFC 9110, section 5.6.2) but the colon.
ODD_BYTES = (
    *range(ord(' ') + 1),
    *b'"(),/;<=>?@[',
    *b']{}',
    ord('\\'),
    *range(0x7F, 0x100),
)
# Before the deadline.
PROMPT_S = 2.5


def odd_lines(odd: bytes) -> Iterator[bytes]:
    """Yield lines with a byte before, within and after a name."""
    for name in NAMES:
        yield b'%b%b: 2\r\n' % (odd, name)
        yield b'%b%b%b: 2\r\n' % (name[:3], odd, name[3:])
        yield b'%b%b: 2\r\n' % (name, odd)


OTHER_LINES = (b': 2\r\n', b'x-note\r\n')
# A blank at the beginning of a line continues the value before it. A client may
# take it so (RFC 9112, section 5.2), as that of the log does.
FOLDED_LINES = (
    b' x-note: 2\r\n',
    b'x-note: a\r\n b\r\n',
    b'x-note: a\r\n\tcontent-length: 4\r\n',
)
CHUNKED = b'transfer-encoding: chunked\r\n'
# Lengths that are none, and lengths that contradict each other.
ODD_LENGTHS = (
    LENGTH * 2,
    b'%bcontent-length: 4\r\n' % LENGTH,
    LENGTH + CHUNKED,
    CHUNKED + LENGTH,
    *(
        b'content-length: %b\r\n' % content
        for content in (
            b'',
            b'+2',
            b'-2',
            b'2, 2',
            b'0x2',
            b'2 0',
            b'two',
            # 2 in 64 bits.
            b'18446744073709551618',
        )
    ),
)
ODD_CHUNK_SIZES = (b'', b'-2', b'0x2', b'2 ', b'10000000000000002', b'2\n')
# One of each kind, for calls over sockets.
SOME_LINES = (
    b'x note: 2\r\n',
    b'content-length : 4\r\n',
    b'x\0note: 2\r\n',
    b'\x01server-seal: t\r\n',
    b'x\x7f: 2\r\n',
    b'x\xe9: 2\r\n',
    *OTHER_LINES,
)


def with_line(line: bytes, *, is_first: bool) -> bytes:
    """Return a response with a line at the beginning or end of its head."""
    fields = line + LENGTH if is_first else LENGTH + line
    return b'%b%b\r\nno' % (HEAD, fields)


class ReaderTest(TestCase):
    """The reader rejects each byte that no name may have, and odd lengths."""

    # Held before.
    def test_every_byte(self) -> None:
        for odd in ODD_BYTES:
            for line in odd_lines(bytes((odd,))):
                self._check(line)

    # Held before.
    def test_other_lines(self) -> None:
        for line in (*OTHER_LINES, *FOLDED_LINES):
            self._check(line)

    # Held before.
    def test_lengths(self) -> None:
        for fields in ODD_LENGTHS:
            self._check_raw(b'%b%b\r\nnono' % (HEAD, fields))
        for size in ODD_CHUNK_SIZES:
            chunk = b'%b\r\nno\r\n0\r\n\r\n' % size
            self._check_raw(b'%b%b\r\n%b' % (HEAD, CHUNKED, chunk))

    def _check(self, line: bytes) -> None:
        for is_first in (False, True):
            self._check_raw(with_line(line, is_first=is_first))

    def _check_raw(self, raw: bytes) -> None:
        self.assertThat(asyncio.run(_read(raw)), Equals('malformed'), raw)


class OddHeadTest(TestCase):
    """A caller gets 502 at once, and nothing of such a response."""

    # Held before.
    def test_target_beside_the_node(self) -> None:
        self._check_all(node_beside)

    # Held before.
    def test_target_elsewhere(self) -> None:
        self._check_all(node_elsewhere)

    # Held before.
    def test_library_port(self) -> None:
        self._check_all(library_port, '/desk/x')

    def _check_all(self, place: Place, path: str = '/write/x') -> None:
        for runner in RUNNERS:
            runner(self._check(place, path))

    async def _check(self, place: Place, path: str) -> None:
        target = BrokenTarget()
        whole = path.replace('/x', '/whole')
        async with place(target) as port:
            for at, line in enumerate((*SOME_LINES, *FOLDED_LINES)):
                answer = await call(port, whole, b'')
                self.assertThat(answer, Equals(Answer(200, b'ok')))
                target.play(with_line(line, is_first=at % 2 == 0))
                upload = UPLOAD if at % 3 else b''
                started_at = time.monotonic()
                answer = await call(port, path, upload)
                elapsed_s = time.monotonic() - started_at
                self.assertThat(answer and answer.status, Equals(502), line)
                self.assertThat(elapsed_s, LessThan(PROMPT_S), line)


class OtherCallTest(TestCase):
    """Other calls that get such a response have failed."""

    # Held before.
    def test_health_check(self) -> None:
        for runner in RUNNERS:
            runner(self._check_health())

    async def _check_health(self) -> None:
        broken = BrokenTarget()
        target = HttpTarget(broken.start(), 1)
        for line in (*SOME_LINES, *FOLDED_LINES):
            broken.play(with_line(line, is_first=True))
            found = await target.check_health('/health')
            self.assertThat(found, Equals(False), line)
        target.close()
        broken.close()

    # Held before.
    def test_logs(self) -> None:
        for runner in RUNNERS:
            runner(self._check_logs())

    async def _check_logs(self) -> None:
        broken = BrokenTarget()
        address = broken.start()
        store, log = StoreLog(address), HttpLog(f'http://{address}')
        for line in SOME_LINES:
            broken.play(with_line(line, is_first=True))
            record = KeyedRecord('key', b'record')
            for error in (
                await find_error(store.append('keyed.op', record)),
                await find_error(log.append('config', b'record')),
            ):
                name = type(error).__name__
                self.assertThat(name, Equals('LogAnswerLost'), line)
        await store.close()
        await log.close()
        broken.close()


async def _read(raw: bytes) -> str:
    stream = asyncio.StreamReader()
    stream.feed_data(raw)
    stream.feed_eof()
    responses = http1.ResponseReader(stream, 'target')
    try:
        await responses.head()
        while not (await responses.part()).end:
            """Read the body."""
    except MalformedMessage:
        return 'malformed'
    return 'read'
