"""Checks that the test of each proof fails once its mechanism is removed from a copy of the sources."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from rig.mechanisms import PROOFS
from rig.proof import Proof, apply_edits

ROOT = Path(__file__).parents[2]
PACKAGES = ("core", "node", "cli")
MAX_CONCURRENT_PROOFS = 3


def run_test(test: str, packages: Path) -> subprocess.CompletedProcess[str]:
    """Run one test on the sources in a folder."""
    path = os.pathsep.join(str(packages / name / "src") for name in PACKAGES)
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", test]
    environment = {**os.environ, "PYTHONPATH": path}
    return subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, check=False)


def remove_mechanism(proof: Proof, folder: Path) -> Path:
    """Copy the packages and remove the mechanism from the copy."""
    packages = folder / "packages"
    shutil.copytree(ROOT / "packages", packages)
    apply_edits(proof.name, proof.edits, packages)
    return packages


def read_last_line(run: subprocess.CompletedProcess[str]) -> str:
    return run.stdout.strip().splitlines()[-1]


def check_proof(proof: Proof) -> bool:
    """Run the test of a proof without and with its mechanism, and print the last line of both outputs."""
    with tempfile.TemporaryDirectory() as folder:
        without = run_test(proof.test, remove_mechanism(proof, Path(folder)))
    present = run_test(proof.test, ROOT / "packages")
    is_proof = without.returncode == 1 and present.returncode == 0
    print(f"{'ok  ' if is_proof else 'BAD '} {proof.name}")
    print(f"       without: {read_last_line(without)}")
    print(f"       with:    {read_last_line(present)}", flush=True)
    return is_proof


def main() -> int:
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [proof for proof in PROOFS if wanted in proof.name]
    with ThreadPoolExecutor(MAX_CONCURRENT_PROOFS) as threads:
        results = list(threads.map(check_proof, chosen))
    print(f"{sum(results)} of {len(results)} proofs fail without their mechanism and pass with it")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
