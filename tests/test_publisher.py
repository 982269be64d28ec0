"""Publishers report what is certain about a change."""

from testtools import ExpectedException, TestCase

from filbertdrift.errors import LogAnswerLost, LogUnavailable
from filbertdrift.log import (
    CHECKPOINT_STREAM,
    CONFIG_STREAM,
    MemoryLog,
    SharedLog,
)
from filbertdrift.publisher import Publisher
from filbertdrift.wire import encode
from tests.builders import config_record, run_virtual, small_fleet


class PublishErrorTest(TestCase):
    """An error says whether the change may be in the log."""

    # Guards against a change in the log that is reported as not published.
    def test_log_fails_after_the_append(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=95)
            node = fleet.nodes[0]
            log = FailingLog(fleet.log)
            publisher = Publisher(log, node.reader, node.replica)
            with ExpectedException(LogAnswerLost):
                await publisher.publish(config_record('r', {}))
            fleet.log.is_down = False
            result = await fleet.publish({}, 'r')
            self.assertTrue(result.is_accepted)
            self.assertEqual(0, result.appends)

        run_virtual(case())

    # Guards against an error that callers of a publisher do not expect.
    def test_invalid_checkpoint(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=96)
            for instance in fleet.instances.values():
                instance.log.is_partitioned = True
            await fleet.log.append(CHECKPOINT_STREAM, b'not a checkpoint')
            expired = encode(config_record('expired', {}))
            for _ in range(5):
                await fleet.log.append(CONFIG_STREAM, expired)
            fleet.log.expire(CONFIG_STREAM, 5)
            fleet.heal()
            with ExpectedException(LogUnavailable):
                await fleet.publish({}, 'r')

        run_virtual(case())


class FailingLog(SharedLog):
    """A client of a log that is down as soon as it has appended a record."""

    def __init__(self, shared: MemoryLog) -> None:
        super().__init__(shared)
        self._memory_log = shared

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record, and set the log down."""
        offset = await super().append(stream, payload)
        self._memory_log.is_down = True
        return offset
