"""JSON-line logs."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from vaneturn_core.identifiers import NodeId, VmId


def configure_logs(level: str, vm: VmId, node: NodeId) -> None:
    """Write every record as one JSON object a line to standard error."""
    formatter = JsonFormatter(
        "{asctime}{levelname}{name}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"vm": vm, "node": node},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)
    logging.getLogger("websockets").setLevel(logging.WARNING)
    logging.getLogger("hypercorn").setLevel(logging.WARNING)


__all__ = ["configure_logs"]
