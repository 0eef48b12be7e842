"""The mechanisms under load near and above capacity, each with the test that must fail without it."""

from __future__ import annotations

from rig.proof import Edit, Proof

CORE = "core/src/vaneturn_core/traffic"
TRAFFIC = "node/src/vaneturn_node/traffic"
SHARING = f"{TRAFFIC}/sharing"
ADMISSION_TESTS = "tests/core/traffic/admission"

OVERLOAD_PROOFS = (
    Proof(
        "capacity goes to the urgent priorities first and leaves a floor to all",
        f"{ADMISSION_TESTS}/test_threshold.py::test_capacity_goes_to_the_urgent_and_leaves_a_floor_to_all",
        (Edit(f"{CORE}/admission/threshold.py", "floor = FLOOR * room / total", "floor = 0.0"),),
    ),
    Proof(
        "a customer over its rate is cut before the others",
        f"{ADMISSION_TESTS}/test_threshold.py::test_customer_over_its_rate_is_refused_and_the_others_are_not",
        (Edit(f"{CORE}/admission/threshold.py", "if draw >= customer_share:", "if draw >= share:"),),
    ),
    Proof(
        "admitted shares rise slowly",
        f"{ADMISSION_TESTS}/test_threshold.py::test_shares_fall_at_once_and_rise_slowly",
        (Edit(f"{CORE}/admission/threshold.py", "rise = MAX_RISE_PER_S * elapsed", "rise = 1.0"),),
    ),
    Proof(
        "refused clients return at the rate at which capacity becomes free",
        f"{ADMISSION_TESTS}/test_returns.py::test_clients_return_at_the_rate_of_capacity",
        (Edit(f"{CORE}/admission/returns.py", "self._next = now + value + interval", "self._next = now"),),
    ),
    Proof(
        "refusals by full servers lower the capacity",
        f"{ADMISSION_TESTS}/test_capacity.py::test_refusals_lower_the_estimate_to_half_and_it_recovers",
        (
            Edit(
                f"{CORE}/admission/capacity.py",
                "self._estimate = max(least, (1 - REFUSAL_STEP) * self._estimate)",
                "self._estimate = max(least, self._estimate)",
            ),
        ),
    ),
    Proof(
        "a request that waits for too long is refused",
        "tests/node/traffic/serving/test_admitting.py"
        "::test_request_that_finds_no_room_is_refused_within_a_quarter_of_its_objective",
        (Edit(f"{CORE}/admission/waiting.py", "MAX_WAIT_SHARE: Final = 0.25", "MAX_WAIT_SHARE: Final = 2.5"),),
    ),
    Proof(
        "a cancelled try that was sent may have run",
        "tests/node/traffic/serving/test_streamtry.py::test_cancelled_try_that_was_sent_may_have_run",
        (
            Edit(
                f"{TRAFFIC}/serving/streamtry.py",
                "self._context.may_have_run = True  # the try before",
                "pass  # the try before",
            ),
        ),
    ),
    Proof(
        "spent attempts leave the servers that count",
        "tests/system/platform/test_attempts.py"
        "::test_stream_that_lost_only_its_end_is_whole_within_its_attempts[many chains-2-reset]",
        (Edit(f"{TRAFFIC}/serving/attempts.py", "return self.count < max_attempts or", "return True or"),),
    ),
    Proof(
        "the end of an answer outlasts a silence of its server",
        "tests/system/platform/test_silence.py"
        "::test_answer_that_its_connection_ends_is_whole_though_its_server_is_silent_for_a_while",
        (Edit(f"{TRAFFIC}/servers/liveness.py", "MAX_CHECK_TIME_S: Final = 2.0", "MAX_CHECK_TIME_S: Final = 1.0"),),
    ),
    Proof(
        "a request takes one attempt along to another node",
        "tests/system/platform/test_forwardedattempts.py"
        "::test_forwarded_stream_stays_within_its_attempts_beside_a_silent_node",
        (
            Edit(
                f"{TRAFFIC}/serving/attempts.py",
                "self.count = max(attempts.count, max_attempts - 1)",
                "self.count = attempts.count",
            ),
        ),
    ),
    Proof(
        "a stream with spent attempts waits for a server that ran it",
        "tests/system/platform/test_cutservers.py"
        "::test_stream_whose_two_servers_are_reset_and_cut_off_goes_on_at_a_third",
        (
            Edit(
                f"{TRAFFIC}/serving/streams.py",
                "may_come_back = context.attempts.servers - client.empty_ends.servers",
                "may_come_back = False",
            ),
        ),
    ),
    Proof(
        "a stream with spent attempts does not use up its tries at once",
        "tests/system/platform/test_spentattempts.py"
        "::test_stream_that_lost_only_its_end_is_whole_when_its_server_comes_back[Outage.RESETTING-1.3]",
        (
            Edit(
                f"{TRAFFIC}/serving/streams.py",
                "return client.is_begun and not context.may_run_again and client.measure_progress() == progress",
                "return False",
            ),
        ),
    ),
    Proof(
        "a stream with spent attempts is sent again to a server that has lost it",
        "tests/system/platform/test_spentattempts.py"
        "::test_stream_that_lost_only_its_end_is_whole_when_its_server_comes_back[Outage.LOSING-1.3]",
        (
            Edit(
                f"{TRAFFIC}/serving/repair.py",
                "if self._client.is_resumed and not self._context.may_run_again:",
                "if False:",
            ),
        ),
    ),
    Proof(
        "a stream that its servers lose again and again goes on while each relays events",
        "tests/system/platform/test_spentattempts.py"
        "::test_stream_whose_servers_lose_it_again_and_again_is_whole_while_each_relays_events",
        (Edit(f"{TRAFFIC}/serving/streams.py", "context.sends - refusals - productive", "context.sends - refusals"),),
    ),
    Proof(
        "a lost stream without a retry is answered at once",
        "tests/system/platform/test_lostrequests.py::test_lost_stream_without_a_retry_is_answered_at_once",
        (Edit(f"{TRAFFIC}/serving/repair.py", "and waited >= LOST_REQUEST_WAIT_S", "and waited < 0"),),
    ),
    Proof(
        "a lost stream whose chain has lost a part is answered at once",
        "tests/system/platform/test_lostrequests.py"
        "::test_lost_stream_whose_chain_has_lost_a_part_is_answered_at_once[True]",
        (
            Edit(
                f"{TRAFFIC}/serving/repair.py",
                "elif losses.parts and await self._replace_parts(losses.parts):",
                "elif losses.parts and [await self._replace_parts(losses.parts)]:",
            ),
        ),
    ),
    Proof(
        "a lost stream asks a second node for a retry",
        "tests/system/platform/test_lostrequests.py"
        "::test_lost_stream_asks_a_second_node_for_a_retry_if_the_first_has_none",
        (Edit(f"{TRAFFIC}/serving/answermarks.py", "has_no_retry or result.reason", "result.reason"),),
    ),
    Proof(
        "a lost stream is served with the retry of another node",
        "tests/system/platform/test_lostrequests.py::test_lost_stream_is_served_with_the_retry_of_another_node",
        (
            Edit(
                f"{TRAFFIC}/serving/trypreparation.py",
                "(client.is_begun or context.was_lost_by_server)",
                "client.is_begun",
            ),
        ),
    ),
    Proof(
        "nodes name the servers of a request to each other",
        "tests/system/platform/test_forwardedends.py::test_forwarded_stream_that_lost_only_its_end_is_whole[reset]",
        (
            Edit(
                f"{TRAFFIC}/serving/attempts.py",
                "self._attempts.replace_named(self._named, servers)",
                "return",
            ),
        ),
    ),
    Proof(
        "a begun stream of another node gives no attempt back",
        "tests/node/traffic/serving/test_peerforwarding.py"
        "::test_attempt_of_a_node_that_has_begun_on_a_server_that_counts_stays_lent",
        (Edit(f"{TRAFFIC}/serving/peerforwarding.py", "loan.record_begun(", "loan.settle("),),
    ),
    Proof(
        "an offer that was not sent gives its attempt back",
        "tests/node/traffic/serving/test_peerforwarding.py"
        "::test_attempt_is_not_spent_on_an_offer_that_is_cancelled_before_it_is_sent",
        (
            Edit(
                f"{TRAFFIC}/serving/peerforwarding.py",
                "if loan is not None and link is not None and not link.was_sent:",
                "if False:",
            ),
        ),
    ),
    Proof(
        "a withdrawn request settles the attempt that was lent",
        "tests/node/traffic/serving/test_withdrawals.py"
        "::test_attempt_of_a_withdrawn_request_counts_as_the_other_node_has_used_it[unused]",
        (Edit(f"{TRAFFIC}/serving/withdrawals.py", "loan.is_lent and _may_answer(link)", "False"),),
    ),
    Proof(
        "a node from which a request is withdrawn states its final count",
        "tests/system/platform/test_forwardedattempts.py"
        "::test_attempt_of_an_offer_that_is_cancelled_counts_as_the_server_that_has_it",
        (
            Edit(
                f"{TRAFFIC}/serving/answermarks.py", 'await answer.send_whole(UNFINISHED_STATUS, marks, b"")', "return"
            ),
        ),
    ),
    Proof(
        "one server does not end a stream beside others that could not be asked",
        "tests/node/traffic/serving/test_emptyends.py"
        "::test_stream_does_not_end_with_the_word_of_one_server_beside_another",
        (Edit(f"{TRAFFIC}/serving/streamrefusal.py", "if _has_asked_all(parts, context, client):", "if True:"),),
    ),
    Proof(
        "two servers without a further event do not end a stream",
        "tests/system/platform/test_emptyends.py"
        "::test_stream_is_not_whole_because_several_servers_have_no_more_events[2]",
        (
            Edit(
                f"{TRAFFIC}/serving/clientstream.py",
                "return self.last_event if self._has_earlier and self.empty_ends.servers else None",
                "return None",
            ),
        ),
    ),
    Proof(
        "the only server that may be asked repeats the newest event",
        "tests/system/platform/test_emptyattempts.py::test_stream_with_one_attempt_that_lost_only_its_end_is_whole",
        (
            Edit(
                f"{TRAFFIC}/serving/trypreparation.py",
                "asked = attempted if may_ask_again else attempted - (ended or context.avoided)",
                "asked = attempted - (ended or context.avoided)",
            ),
        ),
    ),
    Proof(
        "nodes tell each other which servers have no further event",
        "tests/system/platform/test_forwardedends.py"
        "::test_stream_is_over_though_the_first_server_without_further_events_is_silent_since",
        (
            Edit(
                f"{TRAFFIC}/serving/requests.py",
                "self.empty_ends.add(self.first_node.exhausted)",
                "pass",
            ),
        ),
    ),
    Proof(
        "a silent server counts as an attempt",
        "tests/node/traffic/serving/test_streamtry.py"
        "::test_silent_server_counts_as_an_attempt_and_one_that_has_ended_does_not",
        (
            Edit(
                f"{TRAFFIC}/serving/streamtry.py",
                "if is_first_lost and has_path and self._parts.reports.is_gone(self._first_server.id):",
                "if is_first_lost:",
            ),
        ),
    ),
    Proof(
        "a server that is silent for less than two seconds counts as an attempt",
        "tests/node/traffic/servers/test_silences.py"
        "::test_server_that_is_silent_for_less_than_two_seconds_is_never_lost",
        (Edit(f"{TRAFFIC}/servers/silences.py", "MIN_SILENCE_S: Final = 2.0", "MIN_SILENCE_S: Final = 1.0"),),
    ),
    Proof(
        "a server that is silent for longer than that counts no more",
        "tests/system/platform/test_cutservers.py"
        "::test_stream_whose_two_servers_are_cut_off_goes_on_at_a_third[listed]",
        (Edit(f"{TRAFFIC}/servers/silences.py", "silence is not None and silence.is_lost", "False"),),
    ),
    Proof(
        "a begun stream waits until the store confirms its key",
        "tests/system/platform/test_unconfirmedkeys.py::test_begun_stream_waits_until_the_store_confirms_its_key",
        (
            Edit(
                f"{TRAFFIC}/serving/streams.py",
                "may_wait_for_key = client.is_begun and not context.is_forwarded and context.may_be_sent_later()",
                "may_wait_for_key = False",
            ),
        ),
    ),
    Proof(
        "the slowness of a server reaches nodes that have not met it",
        "tests/node/traffic/sharing/test_slownesssharing.py::test_slowness_reaches_a_node_that_has_not_met_the_server",
        (Edit(f"{TRAFFIC}/sharing/slownesssharing.py", "    apply_slowness(statuses, reported)\n", "    pass\n"),),
    ),
    Proof(
        "a repeated report does not renew a slowness",
        "tests/node/traffic/sharing/test_slownesssharing.py::test_repeated_reports_do_not_renew_a_slowness",
        (Edit(f"{TRAFFIC}/sharing/serverrows.py", "now - second * AGE_UNIT_S", "now"),),
    ),
    Proof(
        "fast servers are used until they are nearly full",
        "tests/core/traffic/test_chains.py::test_fast_server_that_is_little_used_goes_before_an_empty_slow_one",
        (Edit(f"{CORE}/crowding.py", "MEMORY_PENALTY_S * share**3", "2 * MEMORY_PENALTY_S * share"),),
    ),
    Proof(
        "one relay at a time counts a node",
        "tests/node/traffic/sharing/test_countedonce.py::test_all_nodes_see_the_true_number_while_the_store_is_away",
        (
            Edit(
                f"{CORE}/reporttarget.py",
                "if address != self._address and not is_expired:\n            return Counting.NONE\n",
                "if address != self._address:\n            return Counting.BEGINS\n",
            ),
        ),
    ),
    Proof(
        "a finding that arrives over two relays is of one node",
        "tests/node/traffic/sharing/test_losssharing.py::test_node_whose_relay_has_gone_is_one_finder_at_the_next_one",
        (Edit(f"{CORE}/losses.py", "if finder == UNKNOWN_FINDER or end[1] != finder", "if True"),),
    ),
    Proof(
        "a silence ends no stream",
        "tests/system/platform/test_silence.py::test_silence_of_a_server_whose_entry_is_gone_does_not_end_its_streams",
        (
            Edit(
                f"{TRAFFIC}/serving/repair.py",
                "if self._parts.reports.is_gone(self._reservation.first_server.id):",
                "if self._reservation.is_reserved:",
            ),
        ),
    ),
    Proof(
        "a stream that its first server does not know moves to another",
        "tests/system/platform/test_lostrequests.py::test_stream_that_its_first_server_does_not_know_moves_to_another",
        (
            Edit(
                f"{TRAFFIC}/serving/repair.py",
                "if self._lost_since is None:",
                "if True:",
            ),
        ),
    ),
    Proof(
        "a relay without the store sends its sums",
        "tests/node/traffic/sharing/test_changes.py"
        "::test_relay_that_cannot_reach_the_store_sends_its_sums_to_the_nodes_that_follow_it",
        (Edit(f"{SHARING}/changeclient.py", "if report.counting is Counting.CONTINUES:", "if False:"),),
    ),
    Proof(
        "a replacement of a relay withdraws its sums",
        "tests/node/traffic/sharing/test_loadsharing.py"
        "::test_replacement_that_follows_a_relay_again_withdraws_its_sums",
        (Edit(f"{SHARING}/loadsharing.py", "left = self._reported - set(peers)", "left: set[VmId] = set()"),),
    ),
)

__all__ = ["OVERLOAD_PROOFS"]
