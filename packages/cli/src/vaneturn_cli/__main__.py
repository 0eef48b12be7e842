"""Run the command line with python -m vaneturn_cli."""

from __future__ import annotations

import sys

from vaneturn_cli.commands import main

sys.exit(main())
