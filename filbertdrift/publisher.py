"""Publishing of changes to the configuration stream."""

import asyncio
from dataclasses import dataclass

from filbertdrift.errors import LogAnswerLost, LogUnavailable
from filbertdrift.fold import Verdict, VerdictKind
from filbertdrift.gen import ttypes
from filbertdrift.keeper import ConfigReplica
from filbertdrift.log import CONFIG_STREAM, Log
from filbertdrift.logreader import LOG_ERRORS, LogReader
from filbertdrift.wire import encode

PUBLISH_TIMEOUT_S = 10.0
RETRY_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class PublishResult:
    """The outcome of a published change.

    Args:
        verdict: The verdict on the record, the same on every node.
        appends: How many appends were attempted.
    """

    verdict: Verdict
    appends: int

    @property
    def is_accepted(self) -> bool:
        """Return whether the change is part of the configuration."""
        return self.verdict.kind == VerdictKind.ACCEPTED


class Publisher:
    """Appends changes to the log and waits for their verdicts.

    Args:
        log: The platform's log.
        reader: Reads the log.
        replica: Applies the records that are read.
    """

    def __init__(
        self,
        log: Log,
        reader: LogReader,
        replica: ConfigReplica,
    ) -> None:
        """Create a publisher on a log."""
        self._log = log
        self._reader = reader
        self._replica = replica

    async def publish(self, record: ttypes.ConfigRecord) -> PublishResult:
        """Publish a change; idempotent for the same record id.

        Args:
            record: The change, with an id chosen by the client.

        Returns:
            The verdict, also if a response of the log was lost.

        Raises:
            LogUnavailable: The change was not published.
            LogAnswerLost: The outcome is unknown; publishing the same record
                again is safe.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + PUBLISH_TIMEOUT_S
        appends = 0
        while True:
            verdict = await self._find_verdict(
                record.record_id, may_be_appended=appends > 0
            )
            if verdict is not None:
                return PublishResult(verdict, appends)
            if await self._append(record, may_be_appended=appends > 0):
                appends += 1
                continue
            appends += 1
            await self._wait_to_retry(deadline)

    async def _append(
        self,
        record: ttypes.ConfigRecord,
        *,
        may_be_appended: bool,
    ) -> bool:
        """Append a record; return whether it is certain to be in the log."""
        try:
            await self._log.append(CONFIG_STREAM, encode(record))
        except LogAnswerLost:
            return False
        except LogUnavailable:
            if may_be_appended:
                return False
            raise
        return True

    async def _find_verdict(
        self,
        record_id: str,
        *,
        may_be_appended: bool,
    ) -> Verdict | None:
        try:
            await self._reader.catch_up()
        except LOG_ERRORS as exc:
            error = LogAnswerLost if may_be_appended else LogUnavailable
            raise error(exc.reason, step='read verdict', peer=exc.peer) from exc
        return self._replica.state.find_verdict(record_id)

    async def _wait_to_retry(self, deadline: float) -> None:
        if asyncio.get_running_loop().time() + RETRY_INTERVAL_S > deadline:
            raise LogAnswerLost(
                'no answer; publish the same change again',
                step='publish',
            )
        await asyncio.sleep(RETRY_INTERVAL_S)
