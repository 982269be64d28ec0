"""Scripts of broken responses, and parts of them."""

from standins.broken_target import HEAD, Action, Endless, Step

HOLD, RESET = Action.HOLD, Action.RESET
CLOSE, HALF_CLOSE = Action.CLOSE, Action.HALF_CLOSE
OPEN = HEAD + b'\r\n'
NO_STATUSES = (b'000', b'001', b'099', b'600', b'700', b'999')
NO_DIGITS = (b'', b'2', b'20', b'2000', b'+20', b'-20', b'2x0', b'0x2', b' 200')
INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
CHUNK = b'186a0\r\n%s\r\n' % bytes(100_000)
CHUNKED = HEAD + b'transfer-encoding: chunked\r\n\r\n'
# About 100 MB a second at most.
FAST = Endless(bytes(100_000), 0.001)
ENDLESS_PAGES: tuple[tuple[Step, ...], ...] = (
    (OPEN, FAST),
    (CHUNKED, Endless(CHUNK, 0.001)),
    (HEAD + b'content-length: 1000000000000000\r\n\r\n', FAST),
)
ENDLESS_HEADS: tuple[tuple[Step, ...], ...] = (
    (FAST,),
    (b'HTTP/1.1 200 ', FAST),
    (HEAD, Endless(b'a' * 100_000, 0.001)),
    (HEAD, Endless(b'a: b\r\n' * 10_000, 0.001)),
    (CHUNKED + b'2;', Endless(b'a' * 100_000, 0.001)),
    (CHUNKED + b'0\r\n', Endless(b'a: b\r\n' * 10_000, 0.001)),
)
SLOW_RESPONSES: tuple[tuple[Step, ...], ...] = (
    (OPEN, Endless(b'a', 0.01)),
    (Endless(INTERIM, 0.01),),
    (OPEN, Endless(bytes(1000), 0.01)),
)


def with_status(status: bytes) -> bytes:
    """Return the head of a response, up to its length."""
    return HEAD.replace(b'200', status)
