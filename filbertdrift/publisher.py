"""Publishing of changes to the configuration stream."""

import asyncio
from dataclasses import dataclass

from filbertdrift.errors import (
    LogAnswerLost,
    LogGap,
    LogUnavailable,
    RulesUnknown,
)
from filbertdrift.fold import Verdict, VerdictKind
from filbertdrift.gen import ttypes
from filbertdrift.keeper import ConfigReplica
from filbertdrift.log import CONFIG_STREAM, Log
from filbertdrift.logreader import LogReader
from filbertdrift.wire import encode

PUBLISH_TIMEOUT_S = 10.0
RETRY_S = 0.2


@dataclass(frozen=True, slots=True)
class PublishResult:
    """What became of a published change.

    Args:
        verdict: The judgement, the same on every node.
        appends: How often the record was appended.
    """

    verdict: Verdict
    appends: int

    @property
    def is_accepted(self) -> bool:
        """Tell whether the change is part of the configuration."""
        return self.verdict.kind == VerdictKind.ACCEPTED


class Publisher:
    """Appends changes to the log and learns what became of them.

    Args:
        log: The platform's log.
        reader: Reads the log.
        replica: Folds it.
    """

    def __init__(
        self,
        log: Log,
        reader: LogReader,
        replica: ConfigReplica,
    ) -> None:
        """Keep the parts."""
        self._log = log
        self._reader = reader
        self._replica = replica

    async def publish(self, record: ttypes.ConfigRecord) -> PublishResult:
        """Publish a change; the same record id is never two changes.

        Args:
            record: The change, with an id chosen by the operator's side.

        Returns:
            The true result, also after an answer of the log was lost.

        Raises:
            LogUnavailable: The change was not published.
            LogAnswerLost: The result cannot be known now; publishing the
                same record again is safe.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + PUBLISH_TIMEOUT_S
        appends = 0
        while True:
            verdict = await self._find_verdict(record.record_id)
            if verdict is not None:
                return PublishResult(verdict, appends)
            if await self._append(record, may_be_appended=appends > 0):
                appends += 1
                continue
            appends += 1
            await self._wait(deadline)

    async def _append(
        self,
        record: ttypes.ConfigRecord,
        *,
        may_be_appended: bool,
    ) -> bool:
        """Append a record; tell whether it certainly took effect."""
        try:
            await self._log.append(CONFIG_STREAM, encode(record))
        except LogAnswerLost:
            return False
        except LogUnavailable:
            if may_be_appended:
                return False
            raise
        return True

    async def _find_verdict(self, record_id: str) -> Verdict | None:
        try:
            await self._reader.catch_up()
        except (LogGap, RulesUnknown) as exc:
            raise LogUnavailable(exc.reason, step='publish') from exc
        return self._replica.state.find_verdict(record_id)

    async def _wait(self, deadline: float) -> None:
        if asyncio.get_running_loop().time() + RETRY_S > deadline:
            raise LogAnswerLost(
                'no answer; publish the same change again',
                step='publish',
            )
        await asyncio.sleep(RETRY_S)
