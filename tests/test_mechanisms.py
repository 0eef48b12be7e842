"""What the proofs take out stands in the sources, so that no proof is lost when the code changes."""

from __future__ import annotations

from pathlib import Path

import pytest

from rig.mechanisms import PROOFS
from rig.proof import Proof

PACKAGES = Path(__file__).parents[1] / "packages"


@pytest.mark.parametrize("proof", [pytest.param(proof, id=proof.name) for proof in PROOFS])
def test_mechanism_stands_in_the_sources(proof: Proof) -> None:
    for edit in proof.edits:
        assert edit.old in (PACKAGES / edit.file).read_text()
