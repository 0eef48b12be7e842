"""A new version is rolled out without moving a session between versions."""

from __future__ import annotations

from rig.installation import LAYERS, Installation, expect_text, read_text
from rig.processes import wait_until

TEXT = "Check the verification letter of debtor 8"


def test_answers_in_progress_keep_their_version(installation: Installation) -> None:
    installation.start_platform()
    middle = LAYERS // 2
    for first, end in ((0, middle), (middle, LAYERS)):
        for letter in "ab":
            options = ["--iteration-seconds", "0.01", "--versions", "1", "2"]
            installation.start_engine(f"runner-{first}{letter}", first, end, *options)
    for index in range(2):
        installation.start_node(f"entry-{index}")
    installation.apply_everywhere()
    with installation.stream(TEXT, max_tokens=100) as stream:
        stream.read(10)
        installation.declared["pipelines"][0]["version"] = "2"
        assert installation.apply().is_success
        for node in installation.nodes:
            wait_until(lambda node=node: installation.show_state(node)["revision"] == 2)  # type: ignore[misc]
            assert read_text(installation.chat(TEXT, node=node)) == expect_text(TEXT, version="2")
        installation.processes[stream.route[1]].kill()
        assert stream.read() == expect_text(TEXT, max_tokens=100, version="1")
        assert stream.is_whole
