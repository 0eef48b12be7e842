"""The randomised run with load, with answers of 1.8 s and faults up to its end."""

from __future__ import annotations

import sys

from rig.loadsoak import LoadSoak
from rig.trafficsoak import main


class LongAnswerSoak(LoadSoak):
    """Cuts more answers than LoadSoak: each lasts longer, and no fault-free time follows."""

    token_time = 0.06
    calm_time = 0.0


if __name__ == "__main__":
    sys.exit(main(LongAnswerSoak))
