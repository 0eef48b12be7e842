"""The text that proofs and ablations remove is still in the sources, so that no proof is lost when code changes."""

from __future__ import annotations

from pathlib import Path

import pytest

from rig.ablation import MECHANISMS, Mechanism
from rig.mechanisms import PROOFS
from rig.proof import Proof

PACKAGES = Path(__file__).parents[1] / "packages"


@pytest.mark.parametrize("taken_out", [pytest.param(one, id=one.name) for one in (*PROOFS, *MECHANISMS)])
def test_mechanism_is_in_the_sources(taken_out: Proof | Mechanism) -> None:
    for edit in taken_out.edits:
        assert edit.old in (PACKAGES / edit.file).read_text()
