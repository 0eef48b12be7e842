"""The command vaneturn-node: one program with two interfaces, the standalone one and that of the platform (--platform).

Only the modules of the chosen interface are imported, to save memory and start-up time on small VMs.
"""

from __future__ import annotations

import argparse
import gc
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from vaneturn_core.faults import Fault
from vaneturn_core.traffic.settings import find_settings_path, load_traffic_settings

EXIT_SETTINGS: Final = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a node until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="vaneturn-node", description="Daemon of a vaneturn entry VM.")
    parser.add_argument("--settings", type=Path, help="JSON file with the settings of this VM")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument("--platform", action="store_true", help="serve the traffic of the users' platform")
    options = parser.parse_args(arguments)
    path = find_settings_path(options.settings)
    if path is None:
        parser.error("--settings is needed")
    if not options.platform:
        from vaneturn_node.daemon import run_node  # noqa: PLC0415 # only the chosen interface is imported

        code = run_node(path, is_check=options.check)
        _skip_last_collection()
        return code
    reloads: list[int] = []  # requested before the node handles signals; such a signal would end the process
    signal.signal(signal.SIGHUP, lambda number, _: reloads.append(number))
    settings = load_traffic_settings(path)
    if isinstance(settings, Fault):
        print(settings, file=sys.stderr)  # noqa: T201 # the error message for the operator
        return EXIT_SETTINGS
    if not options.check:
        from vaneturn_node.traffic.process.daemon import run_traffic_node  # noqa: PLC0415 # not needed for a check

        run_traffic_node(settings, path, has_reload=lambda: bool(reloads))
        _skip_last_collection()
    return 0


def _skip_last_collection() -> None:
    """Let the process end without a garbage collection; the operating system frees the memory at once."""
    gc.freeze()


if __name__ == "__main__":
    sys.exit(main())
