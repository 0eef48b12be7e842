"""Callers and operators reach a node over TLS."""

from __future__ import annotations

import ssl

import httpx
import pytest
import trustme

from rig.installation import OPERATOR_KEY, Installation
from rig.processes import wait_until
from vaneturn_cli.commands import main
from vaneturn_cli.exits import Exit


def test_node_serves_over_tls(installation: Installation, monkeypatch: pytest.MonkeyPatch) -> None:
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    folder = installation.folder
    authority.cert_pem.write_to_path(str(folder / "authority.pem"))
    certificate.private_key_pem.write_to_path(str(folder / "key.pem"))
    certificate.cert_chain_pems[0].write_to_path(str(folder / "certificate.pem"))
    installation.start_platform()
    installation.wait_started()
    tls = {"certificate": str(folder / "certificate.pem"), "key": str(folder / "key.pem")}
    installation.start_node("entry-1", tls=tls)
    url = f"https://127.0.0.1:{installation.ports['entry-1']}"
    context = ssl.create_default_context(cafile=folder / "authority.pem")

    def is_up() -> bool:
        try:
            return httpx.get(url + "/healthz", verify=context).is_success
        except httpx.ConnectError:
            return False

    wait_until(is_up)
    monkeypatch.setenv("VANETURN_OPERATOR_KEY", OPERATOR_KEY)
    arguments = ["--nodes", url, "query", "show nodes"]
    assert main(["--authority", str(folder / "authority.pem"), *arguments]) == Exit.DONE
    assert main(arguments) == Exit.NO_ANSWER
