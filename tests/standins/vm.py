"""Stand-in for a VM: runs a module whose connections come from an address of its own, so that callers are known."""

from __future__ import annotations

import runpy
import sys
from functools import partial

import anyio


def main() -> None:
    address, module, *arguments = sys.argv[1:]
    anyio.connect_tcp = partial(anyio.connect_tcp, local_host=address)  # type: ignore[assignment] # overloads
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
