"""The configuration in force, which is only ever replaced by a newer revision."""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum

import anyio

from vaneturn_core.configuration.document import decode_configuration, digest_configuration
from vaneturn_core.configuration.schema import Configuration, Server
from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import Revision, VmId
from vaneturn_node.metrics import Metrics
from vaneturn_node.view import ConfigurationView

logger = logging.getLogger(__name__)


class OfferResult(Enum):
    """The result of offering a document."""

    INSTALLED = "installed"
    SAME = "same"
    OLDER = "older"
    DIFFERENT = "different"  # the same revision with other content: an operator must resolve this
    MALFORMED = "malformed"


class ConfigurationInForce:
    """Holds the newest document from any source, and notifies listeners of each newer one."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._listeners: list[Callable[[Configuration], None]] = []
        self.data = b""
        self.digest = ""
        self.view = ConfigurationView(Configuration())
        self.changed = anyio.Event()

    @property
    def revision(self) -> Revision:
        """The revision in force; 0 before the first document."""
        return self.view.configuration.revision

    def find_server(self, vm: VmId) -> Server | None:
        """Find a server in the configuration currently in force."""
        return self.view.find_server(vm)

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Call the listener with each newer configuration."""
        self._listeners.append(listener)

    def offer(self, data: bytes) -> OfferResult:
        """Put a document in force if it is newer than the current one."""
        if data == self.data:
            return OfferResult.SAME
        configuration = decode_configuration(data)
        if isinstance(configuration, Fault):
            logger.error("configuration rejected", extra={"fault": str(configuration)})
            return OfferResult.MALFORMED
        if configuration.revision < self.revision:
            return OfferResult.OLDER
        if configuration.revision == self.revision:
            logger.error("two different documents with the same revision", extra={"revision": self.revision})
            return OfferResult.DIFFERENT
        self._install(configuration, data)
        return OfferResult.INSTALLED

    def _install(self, configuration: Configuration, data: bytes) -> None:
        if configuration.revision <= self.revision:
            raise AssertionError(f"revision {configuration.revision} after {self.revision}")
        self.data = data
        self.digest = digest_configuration(data)
        self.view = ConfigurationView(configuration)
        self._metrics.revision.set(configuration.revision)
        for listener in self._listeners:
            listener(configuration)
        self.changed.set()
        self.changed = anyio.Event()
        logger.info("configuration in force", extra={"revision": configuration.revision, "digest": self.digest})


__all__ = ["ConfigurationInForce", "OfferResult"]
