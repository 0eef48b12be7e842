"""The cases under review/ run on the deploy file and its settings template as they are now."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).parents[3]
HELD_EXIT_CODE = 0  # of a case whose rule held; 2 is that of one that could not run


def test_case_runs_to_its_verdict(tmp_path: Path) -> None:
    """None could run: the template had gaps that their deployment does not fill."""
    packages = [*map(str, ROOT.glob("packages/*/src")), sysconfig.get_path("purelib")]
    own = [str(ROOT / "tests"), str(ROOT / "review" / "common")]
    environment = {
        **os.environ,
        "PATH": os.pathsep.join([str(Path(sys.executable).parent), os.environ["PATH"]]),
        "NODE_PATH": os.pathsep.join(packages),
        "PYTHONPATH": os.pathsep.join([*packages, *own]),
    }
    case = shutil.copy(ROOT / "review" / "2" / "case.py", tmp_path)  # it writes its record beside itself
    command = [sys.executable, "-S", case]
    run = subprocess.run(command, cwd=tmp_path, env=environment, capture_output=True, text=True, check=False)
    assert run.returncode == HELD_EXIT_CODE, run.stdout
