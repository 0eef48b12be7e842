"""Stand-in for a VM: runs a module and binds its connections to an own address, which identifies the caller."""

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
