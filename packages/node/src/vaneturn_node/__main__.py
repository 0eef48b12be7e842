"""Run the daemon with python -m vaneturn_node."""

from __future__ import annotations

import sys

from vaneturn_node.daemon import main

sys.exit(main())
