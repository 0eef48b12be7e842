"""Wire names of the platform may appear only in its adapter, the folder platform/."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
WIRE = re.compile(
    r"x-response-seal|x-not-executed|x-expect-instance|x-prompt-prefix|x-token-usage|x-deadline-ms|x-tenant|at-server"
    r"|x-instance-|api/kv-|api/order|api/report|api_keys|slo_ms|revoke_ms|route_type|path_prefix|kv_used"
    r"|target_version|expected_rev|act_bytes|layer_mb|op/config|health_path\"|since_rev|ttl_ms",
    re.IGNORECASE,
)


def list_sources() -> list[Path]:
    return [path for path in ROOT.glob("packages/*/src/**/*.py") if "platform" not in path.parts]


def test_wire_names_appear_only_in_the_adapter() -> None:
    found = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in list_sources()
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WIRE.search(line)
    ]
    assert not found


def test_adapter_is_a_small_part_of_the_product() -> None:
    adapter = sum(len(path.read_text().splitlines()) for path in ROOT.glob("packages/node/src/*/platform/*.py"))
    product = sum(len(path.read_text().splitlines()) for path in ROOT.glob("packages/*/src/**/*.py"))
    assert adapter < 0.1 * product
