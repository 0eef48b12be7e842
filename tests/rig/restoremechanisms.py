"""The mechanisms for a store that is restored from an older copy, each with the test that must fail without it."""

from __future__ import annotations

from rig.proof import Edit, Proof

NODE = "node/src/vaneturn_node"
DUTIES = f"{NODE}/traffic/duties"
FOLLOWING = f"{NODE}/traffic/following"
SHARING = f"{NODE}/traffic/sharing"
TESTS = "tests/node/traffic"

RESTORE_PROOFS = (
    Proof(
        "states of the store are ordered by epoch first",
        "tests/system/platform/test_restores.py"
        "::test_leaving_server_gets_no_requests_after_the_store_was_restored[epoch stated]",
        (
            Edit(
                f"{NODE}/platform/epochs.py",
                "return StoreState(epoch << NUMBER_BITS | number)",
                "return StoreState(number)",
            ),
        ),
    ),
    Proof(
        "responses of an older epoch are rejected",
        "tests/node/test_epochs.py::test_malformed_or_falling_epoch_is_rejected_and_logged_once",
        (Edit(f"{NODE}/platform/epochs.py", "epoch >= self.current", "epoch >= 0"),),
    ),
    Proof(
        "the whole state is read after a restore",
        f"{TESTS}/following/test_follower.py::test_whole_state_is_read_when_a_watch_is_answered_after_a_restore",
        (Edit(f"{FOLLOWING}/follower.py", "if get_epoch(page.revision) != get_epoch(revision):", "if False:"),),
    ),
    Proof(
        "other values under numbers that were given out again are listed",
        f"{TESTS}/sharing/test_changelog.py::test_other_value_under_a_revision_that_was_given_out_again_is_listed",
        (
            Edit(
                f"{SHARING}/changelog.py", "get_number(item.revision), hash(item.value)", "get_number(item.revision), 0"
            ),
        ),
    ),
    Proof(
        "changes that a relay never knew are not continued from",
        f"{TESTS}/sharing/test_changelog.py"
        "::test_node_with_changes_that_a_relay_never_knew_does_not_continue_after_a_restore",
        (Edit(f"{SHARING}/changelog.py", "revision > self._last_states.get(epoch, NO_STATE)", "False"),),
    ),
    Proof(
        "no state is confirmed to a node that knows a later one",
        f"{TESTS}/sharing/test_changes.py::test_node_ahead_of_its_relay_gets_no_answer_before_the_relay_has_caught_up",
        (Edit(f"{SHARING}/changeserver.py", "(self._log.revision >= since and ", "("),),
    ),
    Proof(
        "the tenure does not count in an epoch in which its record was not read",
        f"{TESTS}/duties/test_candidacy.py::test_tenure_does_not_count_after_a_restore_before_the_record_is_read",
        (Edit(f"{DUTIES}/tenure.py", "return is_current and ", "return "),),
    ),
    Proof(
        "the next holder waits for the lease of a lost one",
        f"{TESTS}/duties/test_candidacy.py::test_next_holder_waits_until_the_lease_of_a_lost_holder_is_over",
        (Edit(f"{DUTIES}/tenure.py", 'float("-inf") if was_held_here else', 'float("-inf") if True else'),),
    ),
    Proof(
        "nodes register again after a restore",
        f"{TESTS}/duties/test_registration.py::test_node_registers_again_when_the_restored_store_lacks_its_record",
        (Edit(f"{DUTIES}/registration.py", "            self._must_write.set()\n", "            pass\n"),),
    ),
    Proof(
        "an entry of the copy does not bring back a server that left",
        f"{TESTS}/following/test_restores.py::test_server_that_left_is_not_ready_again_by_an_entry_of_the_copy",
        (Edit(f"{FOLLOWING}/departures.py", "get_number(revision) <= number", "False"),),
    ),
    Proof(
        "servers that the copy lacks are kept for a while",
        f"{TESTS}/following/test_restores.py::test_server_that_the_copy_lacks_is_kept_until_it_writes_its_entry_again",
        (Edit(f"{FOLLOWING}/viewkeeping.py", "        self._view.note_restore()\n", ""),),
    ),
    Proof(
        "nodes that the copy lacks keep their parts of the limits for a while",
        f"{TESTS}/following/test_restores.py"
        "::test_node_that_the_copy_lacks_keeps_its_part_of_the_limits_until_it_registers_again",
        (Edit(f"{FOLLOWING}/viewkeeping.py", "self._restored_at < RETURN_TIME_S and", "self._restored_at < 0 and"),),
    ),
    Proof(
        "an older configuration of the copy confirms no keys",
        f"{TESTS}/following/test_follower.py::test_older_configuration_of_a_restored_store_confirms_no_view",
        (
            Edit(
                f"{FOLLOWING}/follower.py",
                "if not self._keeper.has_newest_configuration():",
                "if False:",
            ),
        ),
    ),
)

__all__ = ["RESTORE_PROOFS"]
