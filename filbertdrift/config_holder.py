"""The configuration document in force on a node."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from filbertdrift.document_delta import document_digest
from filbertdrift.errors import MalformedMessage
from filbertdrift.routing import (
    NO_VERSION,
    PrefixTable,
    RoutingConfig,
    check_references,
)

MS_PER_S = 1000
# Documents that are kept, to compute and to apply deltas.
MAX_DOCUMENTS = 8

ParseDocument = Callable[[bytes], RoutingConfig]


@dataclass(slots=True)
class HolderCounters:
    """How often documents were adopted, ignored or rejected."""

    adopted: int = 0
    older_ignored: int = 0
    malformed: int = 0


class ConfigHolder:
    """Holds the full configuration in force; its version only increases.

    Args:
        parse: Decodes a document.

    Attributes:
        config: The configuration in force, None before the first document.
        table: The routes of the configuration.
        document: The encoded configuration, as sent to peers.
        documents: The last MAX_DOCUMENTS documents by version.
        on_adopt: Called with each new configuration.
        announced_version: The newest version that this node has heard of.
    """

    def __init__(self, parse: ParseDocument) -> None:
        """Start without a configuration."""
        self.counters = HolderCounters()
        self.config: RoutingConfig | None = None
        self.table = PrefixTable(())
        self.document = b''
        self.documents: OrderedDict[int, bytes] = OrderedDict()
        self.on_adopt: Callable[[RoutingConfig], None] = _ignore_config
        self.announced_version = NO_VERSION
        self._behind_since: float | None = None
        self._adopted_at = 0.0
        self._parse = parse
        self._digest = b''

    @property
    def version(self) -> int:
        """Return the version in force, or NO_VERSION if there is none."""
        return self.config.version if self.config else NO_VERSION

    def digest(self) -> tuple[int, bytes]:
        """Return the version and the digest of the document."""
        return self.version, self._digest

    def record_announcement(self, version: int) -> None:
        """Record that a peer has a version in force."""
        self.announced_version = max(self.announced_version, version)
        if version > self.version and self._behind_since is None:
            self._behind_since = asyncio.get_running_loop().time()

    def forget_lost_announcement(self, version: int, as_of: float) -> None:
        """Forget an announced version if the log does not hold it any more.

        Args:
            version: The newest version in the log.
            as_of: When that was so, on the clock of the event loop.
        """
        if self._behind_since is None or as_of <= self._behind_since:
            return
        if version <= self.version:
            self.announced_version = self.version
            self._behind_since = None

    def behind_s(self) -> float:
        """Return for how long this node has known of a newer version."""
        if self._behind_since is None:
            return 0
        return asyncio.get_running_loop().time() - self._behind_since

    def unchanged_s(self) -> float:
        """Return for how long the configuration has been in force."""
        return asyncio.get_running_loop().time() - self._adopted_at

    def offer(self, document: bytes, source: str) -> bool:
        """Adopt a document if it is well-formed, consistent and newer.

        Args:
            document: The encoded configuration.
            source: The origin of the document, for log messages.

        Returns:
            True if the document was adopted.
        """
        before = self.version
        return self.read(document, source) is not None and (
            self.version > before
        )

    def read(self, document: bytes, source: str) -> int | None:
        """Adopt a document as offer does, and return its version.

        Args:
            document: The encoded configuration.
            source: The origin of the document, for log messages.

        Returns:
            None if the document is malformed or inconsistent.
        """
        if document == self.document:
            self.counters.older_ignored += 1
            return self.version
        try:
            config = self._parse(document)
            check_references(config)
        except MalformedMessage as exc:
            self.counters.malformed += 1
            logger.bind(
                event='config_refused',
                version=self.version,
                size_bytes=len(document),
                source=source,
            ).error('configuration from {} refused: {}', source, exc)
            return None
        if config.version <= self.version:
            self.counters.older_ignored += 1
            return config.version
        before = self.version
        behind_s = self.behind_s()
        self.config = config
        self._adopted_at = asyncio.get_running_loop().time()
        if self.version >= self.announced_version:
            self._behind_since = None
        self.table = PrefixTable(config.routes)
        self._keep_document(config.version, document)
        self._digest = document_digest(document)
        self.counters.adopted += 1
        logger.bind(
            event='config_adopted',
            version=config.version,
            before=before,
            routes=len(config.routes),
            size_bytes=len(document),
            behind_ms=int(behind_s * MS_PER_S),
            source=source,
        ).info('configuration {} is in force', config.version)
        self.on_adopt(config)
        return config.version

    def _keep_document(self, version: int, document: bytes) -> None:
        self.document = document
        self.documents[version] = document
        if len(self.documents) > MAX_DOCUMENTS:
            self.documents.popitem(last=False)


def _ignore_config(config: RoutingConfig) -> None:
    """Do nothing."""
