"""The operator's configuration, as it is written into the store."""

from __future__ import annotations

import json
import random
from typing import Any

from standins.platform.store import Store

HOST = "desk.example"
KEY = "key-of-broker"


def make_configuration(version: int, layers: int = 8, **changes: Any) -> dict[str, Any]:
    """Make a configuration with one route of each kind; changes replace whole fields.

    Routes whose requests must run once allow several attempts: a second run is prevented by their kind alone.
    """
    common = {"host": HOST, "slo_ms": 500, "priority": 1, "max_attempts": 2, "public": False}
    engine = {
        "slots": 8, "kv_capacity": 50000, "kv_token_bytes": 1836000, "stride": 3, "models": [{"name": "m"}],
        "step_ms": 1.02, "per_seq_ms": 0.014, "read_per_s": 105000.0, "loads_at_once": 5,
        "delays": [{"from": "east", "target_version": "west", "delay_ms": 0.75}],
        "usual": {"prompt": 774, "answer": 200}, "layers": layers, "layer_mb": 1750.0, "act_bytes": 91800,
        "pipe_mbps": 26000.0, "kinds": [{"name": "big", "mb": 0.9 * layers * 1750.0, "pace": 2.4, "read_x": 3.2}],
    }  # fmt: skip
    configuration = {
        "version": version,
        "routes": [
            {
                **common, "name": "letter", "path_prefix": "/letter/", "route_type": "stream", "timeout_ms": 20000,
                "service": "llm", "resumable": True, "sticky": True, "gap_aim_ms": 200,
            },
            {
                **common, "name": "notice", "path_prefix": "/notice/", "route_type": "stream", "timeout_ms": 3000,
                "service": "llm", "resumable": False, "max_attempts": 3,
            },
            {
                **common, "name": "once", "path_prefix": "/once/", "route_type": "unsafe", "timeout_ms": 800,
                "service": "desk", "max_attempts": 3,
            },
            {**common, "name": "check", "path_prefix": "/check/", "route_type": "safe", "timeout_ms": 1500,
             "service": "desk"},
            {**common, "name": "open", "path_prefix": "/open/", "route_type": "safe", "timeout_ms": 1500,
             "service": "desk", "public": True},
        ],
        "services": [
            {"name": "llm", "health_path": "/healthz", "max_conns": 100, "engine": engine},
            {"name": "desk", "health_path": "/healthz", "max_conns": 100},
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 1000, "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "broker", "api_keys": [KEY], "priority": 1}],
    }  # fmt: skip
    return {**configuration, **changes}


def make_more_routes(count: int, rng: random.Random) -> list[dict[str, Any]]:
    """Make routes with random names, so that the configuration compresses poorly."""
    route = make_configuration(1)["routes"][3]
    names = [f"{rng.getrandbits(96):024x}" for _ in range(count)]
    return [{**route, "name": name, "path_prefix": f"/{name}/"} for name in names]


def configure(store: Store, configuration: dict[str, Any]) -> int:
    """Put a configuration in force; return the store's revision."""
    return store.put("op/config", json.dumps(configuration).encode())


__all__ = ["HOST", "KEY", "configure", "make_configuration", "make_more_routes"]
