"""The mechanisms of the platform mode, each with the test that must fail without it."""

from __future__ import annotations

from rig.proof import Edit, Proof

TRAFFIC = "node/src/vaneturn_node/traffic"
PLATFORM = "node/src/vaneturn_node/platform"
CORE = "core/src/vaneturn_core/traffic"
SYSTEM = "tests/system/platform"

TRAFFIC_PROOFS = (
    Proof(
        "a connection carries a request once",
        "tests/node/traffic/test_pool.py::test_connection_that_has_carried_a_request_is_not_taken_for_it_again",
        (
            Edit(
                "node/src/vaneturn_node/http1/pool.py",
                "if request is None or not idle[index].has_carried(request):",
                "if index >= 0:",
            ),
        ),
    ),
    Proof(
        "keys are closed when the store is away",
        f"{SYSTEM}/test_keys.py::test_keys_close_when_the_store_is_away_and_public_routes_do_not",
        (Edit(f"{CORE}/view.py", "return self.keys_age < self._keys_valid", "return self.configuration is not None"),),
    ),
    Proof(
        "an unconfirmed key names no customer on a public route",
        f"{SYSTEM}/test_keys.py::test_revoked_key_names_no_customer_on_public_routes_when_the_store_is_away",
        (
            Edit(
                f"{TRAFFIC}/serving/requestrouting.py",
                "customer = key_holder if has_valid_keys else None",
                "customer = key_holder",
            ),
            Edit(
                f"{TRAFFIC}/serving/requests.py",
                "customer = self.customer if self.is_customer_confirmed() else None",
                "customer = self.customer",
            ),
        ),
    ),
    Proof(
        "a former customer is not named when a request is sent again",
        f"{SYSTEM}/test_keys.py::test_moved_stream_of_a_public_route_does_not_name_the_former_customer_of_its_key",
        (
            Edit(
                f"{TRAFFIC}/serving/requests.py",
                "customer = self.customer if self.is_customer_confirmed() else None",
                "customer = self.customer",
            ),
        ),
    ),
    Proof(
        "a read of the state confirms keys up to its time",
        "tests/node/traffic/following/test_follower.py::test_keys_are_verified_by_a_read_of_the_known_state",
        (Edit(f"{TRAFFIC}/following/storewatch.py", "self._verified_at = asked_at", "pass"),),
    ),
    Proof(
        "a watch that is longer than any answer is replaced by a reading of the newest values",
        f"{SYSTEM}/test_catchup.py::test_node_that_missed_more_than_an_answer_may_hold_serves_again",
        (Edit(f"{PLATFORM}/store.py", "if failed.is_too_long:", "if failed.has_no_memory:"),),
    ),
    Proof(
        "a watch whose answer was cut is not repeated",
        "tests/node/traffic/following/test_follower.py::test_watch_whose_answer_was_of_no_use_is_not_repeated",
        (Edit(f"{TRAFFIC}/following/storewatch.py", "return revision != self._unusable_after", "return True"),),
    ),
    Proof(
        "keys are closed in time for a change that a watch did not report",
        f"{SYSTEM}/test_compactions.py::test_key_revoked_before_a_compaction_and_an_outage_closes_in_time",
        (Edit(f"{CORE}/view.py", "self.confirmed_at - MUTED_TIME_S)", "self.confirmed_at)"),),
    ),
    Proof(
        "an answer without a valid status is none",
        f"{SYSTEM}/test_invalidstatuses.py::test_status_that_is_none_is_no_answer",
        (Edit("node/src/vaneturn_node/http1/link.py", "if event.status_code > MAX_STATUS:", "if False:"),),
    ),
    Proof(
        "a late write of a registration does not undo a later one",
        "tests/node/traffic/duties/test_registration.py::test_first_write_that_is_done_late_does_not_undo_the_second",
        (
            Edit(
                f"{TRAFFIC}/duties/registration.py",
                "encode_node(self._record), known, lease.id)",
                "encode_node(self._record), None, lease.id)",
            ),
        ),
    ),
    Proof(
        "a registration that was replaced is written again",
        f"{SYSTEM}/test_registration.py::test_node_whose_record_was_replaced_registers_again",
        (
            Edit(
                f"{TRAFFIC}/duties/registration.py",
                "        self._must_write.set()\n\n    def enter",
                "\n    def enter",
            ),
        ),
    ),
    Proof(
        "requests to a limited server need a permit",
        f"{SYSTEM}/test_directives.py::test_rate_limit_of_a_server_is_kept_by_all_nodes_together",
        (
            Edit(
                f"{TRAFFIC}/serving/streamtry.py",
                "if not await self._parts.permits.obtain(self._first_server.id):",
                "if self._first_server.id is None:",
            ),
        ),
    ),
    Proof(
        "a server that asked for rest gets no request",
        f"{SYSTEM}/test_directives.py::test_server_that_asked_for_rest_gets_no_more_requests",
        (
            Edit(
                f"{CORE}/beliefs.py",
                "return self.is_leaving or now < self.rest_until or is_trial_pending",
                "return False",
            ),
        ),
    ),
    Proof(
        "a server that says it leaves gets no request",
        f"{SYSTEM}/test_directives.py::test_server_that_says_it_leaves_gets_no_more_requests",
        (
            Edit(
                f"{TRAFFIC}/servers/directivekeeper.py",
                "belief.is_leaving = belief.is_leaving or directives.is_leaving",
                "belief.is_leaving = False",
            ),
        ),
    ),
    Proof(
        "nodes look again right before a send",
        "tests/core/traffic/test_servers.py::test_server_is_tried_by_one_request_at_a_time_after_its_rest",
        (Edit(f"{CORE}/beliefs.py", "        if self.is_closed(now):\n            return False\n", ""),),
    ),
    Proof(
        "a server is tried by one request at a time after its rest",
        "tests/core/traffic/test_servers.py::test_server_is_tried_by_one_request_at_a_time_after_its_rest",
        (Edit(f"{CORE}/beliefs.py", "is_trial_pending = self.is_returning and", "is_trial_pending = False and"),),
    ),
    Proof(
        "nodes without a permit return one after the other",
        "tests/core/traffic/test_ratelimits.py::test_nodes_without_a_permit_return_one_after_the_other",
        (Edit(f"{CORE}/ratelimits.py", " + self._refused[server] * interval", ""),),
    ),
    Proof(
        "nodes tell each other of rate limits",
        "tests/node/traffic/sharing/test_changes.py::test_rate_limit_that_one_node_was_told_reaches_all_others",
        (Edit(f"{TRAFFIC}/sharing/changeserver.py", "            limits=self._permits.list_changed_limits(),\n", ""),),
    ),
    Proof(
        "a node that has just become the issuer issues a small share",
        "tests/core/traffic/test_ratelimits.py::test_node_that_has_just_become_first_issues_a_small_share_until_all_know",
        (Edit(f"{CORE}/ratelimits.py", "all(ranked[:1] == (self._vm,) for ranked in ranks)", "ranks"),),
    ),
    Proof(
        "an older answer does not raise a limit",
        "tests/core/traffic/test_ratelimits.py::test_answer_to_an_older_request_neither_raises_nor_ends_a_limit",
        (Edit(f"{CORE}/ratelimits.py", "if is_limit_lower or sent_at > known.at:", "if known:"),),
    ),
    Proof(
        "entries that lapsed in an outage are held",
        "tests/core/traffic/test_view.py::test_entry_that_lapsed_in_an_outage_stays_until_it_should_be_back",
        (Edit(f"{CORE}/view.py", "if self.contact.is_in_trouble or now", "if now"),),
    ),
    Proof(
        "a server that may have left is replaced",
        "tests/core/traffic/test_lapses.py::test_server_that_may_have_left_is_replaced_long_before_it_ends",
        (Edit(f"{CORE}/lapses.py", "if server.id not in doubtful or not can_be_replaced(server)", "if server"),),
    ),
    Proof(
        "a store that failed is asked to answer at once",
        "tests/node/traffic/following/test_follower.py::test_store_that_failed_is_asked_to_answer_at_once",
        (Edit(f"{TRAFFIC}/following/storewatch.py", "if self._view.contact.is_in_trouble:", "if False:"),),
    ),
    Proof(
        "an answer without a retry is resumed by another node",
        f"{SYSTEM}/test_retrybudget.py::test_answer_at_a_node_that_has_just_started_is_resumed_by_another_node",
        (
            Edit(
                f"{TRAFFIC}/serving/trypreparation.py",
                "if not may_ask or",
                "if True or",
            ),
        ),
    ),
    Proof(
        "what must not repeat runs once",
        f"{SYSTEM}/test_plain.py::test_request_that_must_not_run_twice_runs_once",
        (
            Edit(
                f"{TRAFFIC}/serving/requests.py",
                "return self.may_repeat and self.attempts.count < self.route.max_attempts",
                "return self.attempts.count < 2",
            ),
            Edit(
                f"{TRAFFIC}/serving/requests.py", "if not self.may_repeat and (self.may_have_run", "if False and (True"
            ),
        ),
    ),
    Proof(
        "a node's answer without marks declines nothing",
        "tests/node/traffic/serving/test_peerforwarding.py"
        "::test_request_is_offered_to_no_other_node_after_an_answer_without_marks",
        (
            Edit(
                f"{TRAFFIC}/serving/notrun.py",
                'raise LinkError("answer without marks", was_sent=True)',
                "return DeclineReason.NO_PATH",
            ),
        ),
    ),
    Proof(
        "a second send needs evidence that the first has not run",
        "tests/node/traffic/serving/test_requestcontext.py::test_second_send_needs_evidence_that_the_first_has_not_run",
        (
            Edit(
                f"{TRAFFIC}/serving/requests.py", "if not self.may_repeat and (self.may_have_run", "if False and (True"
            ),
        ),
    ),
    Proof(
        "a refusal must name the request",
        f"{SYSTEM}/test_plain.py::test_late_surplus_refusal_does_not_repeat_a_request_that_must_run_once",
        (Edit(f"{TRAFFIC}/serving/notrun.py", "if facts.id is None or facts.id != request:", "if False:"),),
    ),
    Proof(
        "a connection carries one exchange at a time",
        "tests/node/traffic/test_pool.py::test_exchange_that_gave_its_connection_back_does_not_close_it",
        (Edit("node/src/vaneturn_node/http1/connection.py", "if self._user is not None:", "if False:"),),
    ),
    Proof(
        "an answer must be the one to the request",
        f"{SYSTEM}/test_plain.py::test_surplus_answer_is_never_passed_on",
        (
            Edit(
                "node/src/vaneturn_node/http1/connection.py",
                "        if self.protocol.trailing_data[0]:\n            return False\n",
                "",
            ),
            Edit(
                "node/src/vaneturn_node/http1/connection.py",
                "        return not self.stream.has_input()\n",
                "        return True\n",
            ),
            Edit(
                f"{TRAFFIC}/serving/plaintry.py",
                "if not may_answer(facts, context.facts.id):",
                "if False:",
            ),
        ),
    ),
    Proof(
        "an answer that clients get names its request",
        f"{SYSTEM}/test_streams.py::test_stream_gets_no_answer_that_names_no_request",
        (
            Edit(
                f"{TRAFFIC}/serving/heads.py",
                "(facts.id is None and not facts.is_sealed)",
                "facts.id is None",
            ),
        ),
    ),
    Proof(
        "the newest version may say that a request must run once",
        f"{SYSTEM}/test_plain.py::test_request_is_not_repeated_once_a_newer_version_says_that_it_must_run_once",
        (Edit(f"{TRAFFIC}/serving/requests.py", " and self.is_repeatable()", ""),),
    ),
    Proof(
        "a request counts as sent from its first byte on",
        "tests/node/traffic/serving/test_answering.py"
        "::test_request_whose_time_ends_while_it_is_sent_is_not_refused_as_not_run",
        (
            Edit(
                f"{TRAFFIC}/serving/answering.py",
                "may_have_run = bool(context.sends) or context.history.may_have_run",
                "may_have_run = bool(context.sends)",
            ),
        ),
    ),
    Proof(
        "a node without a path lends a retry",
        f"{SYSTEM}/test_retrybudget.py::test_answer_at_a_node_without_a_path_is_resumed_by_one_without_retries",
        (Edit(f"{TRAFFIC}/serving/peerforwarding.py", "if not context.sends or context.is_forwarded:", "if True:"),),
    ),
    Proof(
        "a begun answer waits between refusals",
        f"{SYSTEM}/test_streams.py::test_begun_answer_outlasts_servers_that_refuse_for_a_moment",
        (
            Edit(
                f"{TRAFFIC}/serving/streams.py",
                "return context.sends - refusals - productive < MAX_SENDS and refusals < MAX_BEGUN_REFUSALS",
                "return context.sends < MAX_SENDS and refusals < MAX_REFUSALS",
            ),
        ),
    ),
    Proof(
        "a server that drains gets no new work",
        f"{SYSTEM}/test_plain.py::test_draining_server_gets_no_new_work",
        (Edit(f"{CORE}/beliefs.py", "if server.state is ServerState.READY and", "if"),),
    ),
    Proof(
        "an event is passed on only when it is whole",
        f"{SYSTEM}/test_streams.py::test_event_that_is_cut_in_the_middle_is_not_passed_on",
        (
            Edit(
                f"{TRAFFIC}/serving/clientstream.py",
                "        events = splitter.split(data)\n",
                "        events = splitter.split(data)\n        await self._answer.send_part(splitter.remainder)\n",
            ),
        ),
    ),
    Proof(
        "work ends when its client leaves",
        f"{SYSTEM}/test_streams.py::test_work_ends_when_the_client_leaves",
        (
            Edit(
                "node/src/vaneturn_node/http1/server.py",
                "                self._has_disconnected = True\n                scope.cancel()\n",
                "                self._has_disconnected = True\n",
            ),
        ),
    ),
    Proof(
        "a lost part of a chain is replaced",
        f"{SYSTEM}/test_streams.py::test_stream_that_must_not_run_twice_waits_for_a_server_in_place_of_a_lost_one",
        (
            Edit(
                f"{TRAFFIC}/serving/repair.py",
                "elif losses.parts and await self._replace_parts(losses.parts):",
                "elif losses.parts:",
            ),
        ),
    ),
    Proof(
        "a part named in a refusal rests",
        f"{SYSTEM}/test_streams.py::test_part_that_was_refused_is_left_alone_by_the_next_requests",
        (
            Edit(
                f"{TRAFFIC}/serving/chainreservation.py",
                "        elif facts.faulty is not None:",
                "        elif facts is None:",
            ),
        ),
    ),
    Proof(
        "a live try is kept until a server has taken another",
        f"{SYSTEM}/test_silence.py::test_stream_that_must_not_run_twice_goes_on_where_it_is",
        (
            Edit(
                f"{TRAFFIC}/serving/streamtry.py",
                '            context.add_wait_step(f"{cause}; waits")\n            return\n',
                "            raise TryEndedError(MayHaveRun(cause))\n",
            ),
        ),
    ),
    Proof(
        "silence counts only beside an answer of others",
        f"{SYSTEM}/test_silence.py::test_silence_of_all_servers_is_not_taken_for_their_loss",
        (
            Edit(
                f"{TRAFFIC}/servers/exchange.py",
                "if len(engines) <= 1 or self.hearing.has_reached_others_since(since):",
                "if engines is not None:",
            ),
        ),
    ),
    Proof(
        "one question without an answer counts once",
        "tests/node/traffic/servers/test_lossfinding.py::test_one_unanswered_question_is_one_silence",
        (
            Edit(
                f"{TRAFFIC}/servers/reports.py",
                "if known is not None and isinstance(known.report, ServerReport) and known.sent_at > now - max_age:",
                "if known is not None and known.report is not None and known.sent_at > now - max_age:",
            ),
        ),
    ),
    Proof(
        "an order is void after another one",
        f"{SYSTEM}/test_placing.py::test_late_order_changes_nothing_after_a_newer_one",
        (Edit(f"{PLATFORM}/servers.py", '            "expected_rev": orders_begun,\n', ""),),
    ),
    Proof(
        "a holder whose lease may be over orders nothing",
        f"{SYSTEM}/test_placing.py::test_no_order_without_the_store",
        (
            Edit(
                f"{TRAFFIC}/duties/tenure.py",
                "return is_current and self._is_holder() and read_clock() < self._valid_until - ORDER_MARGIN_S",
                "return self._is_holder()",
            ),
        ),
    ),
    Proof(
        "a planned stop cuts no stream",
        f"{SYSTEM}/test_stopping.py::test_stream_under_way_is_answered_in_full",
        (
            Edit(
                f"{TRAFFIC}/process/stopping.py",
                "return is_over or (self.is_closed_to_clients() and not in_progress)",
                "return True",
            ),
        ),
    ),
    Proof(
        "requests that a planned stop ends get an answer",
        f"{SYSTEM}/test_laststop.py::test_request_that_runs_at_the_end_of_a_stop_gets_an_answer",
        (Edit(f"{TRAFFIC}/process/daemon.py", "if self._lifecycle.must_abort():", "if False:"),),
    ),
    Proof(
        "a process ends without a garbage collection",
        "tests/node/test_ending.py::test_process_ends_without_a_garbage_collection",
        (Edit("node/src/vaneturn_node/__main__.py", "gc.freeze()", "pass"),),
    ),
    Proof(
        "nobody waits for the first configuration of a node that ends",
        f"{SYSTEM}/test_laststop.py::test_request_that_waits_for_the_first_configuration_in_a_stop_is_refused",
        (Edit(f"{TRAFFIC}/process/daemon.py", "self._first_reading.end()", "pass"),),
    ),
    Proof(
        "a document that is nested too deeply is malformed",
        "tests/node/traffic/test_oddbytes.py::test_odd_document_is_malformed",
        (
            Edit(
                "core/src/vaneturn_core/decoding.py",
                "    except RecursionError:\n",
                "    except ZeroDivisionError:\n",
            ),
        ),
    ),
    Proof(
        "answers that are kept whole share the byte budget",
        f"{SYSTEM}/test_endless.py::test_endless_bodies_of_many_answers_at_once_share_a_bound",
        (Edit("node/src/vaneturn_node/http1/link.py", "            holder.grow(size)\n", "            pass\n"),),
    ),
    Proof(
        "a silent relay is left in time",
        f"{SYSTEM}/test_relays.py::test_leaving_server_is_known_in_time_though_the_relay_is_lost",
        (Edit(f"{TRAFFIC}/sharing/changeclient.py", "self._times.ask, body=body", "8.0, body=body"),),
    ),
    Proof(
        "a relay that the store turns away is left in time",
        f"{SYSTEM}/test_relays.py::test_relay_that_the_store_turns_away_is_left",
        (
            Edit(f"{TRAFFIC}/sharing/changeserver.py", "not has_news or self._has_store_failed()", "False"),
            Edit(f"{TRAFFIC}/sharing/changeclient.py", "confirmed_at > self._times.ask", "confirmed_at > 8.0"),
        ),
    ),
    Proof(
        "a relay is kept while the store's answer is arriving there",
        f"{SYSTEM}/test_relays.py::test_relay_is_kept_while_a_long_value_arrives_there",
        (Edit(f"{TRAFFIC}/sharing/changeserver.py", "if not has_news and self._is_arriving():", "if False:"),),
    ),
    Proof(
        "a relay gives long values to who cannot read them",
        f"{SYSTEM}/test_relays.py::test_node_that_the_store_turns_away_gets_a_long_configuration_from_its_relay",
        (Edit(f"{TRAFFIC}/sharing/longvalues.py", "for relay in self._list_relays(address):", "for relay in ():"),),
    ),
    Proof(
        "long values are read from the store by relays alone",
        f"{SYSTEM}/test_relays.py::test_long_configurations_are_read_from_the_store_by_relays_alone",
        (Edit(f"{TRAFFIC}/sharing/longvalues.py", "for relay in self._list_relays(address):", "for relay in ():"),),
    ),
    Proof(
        "a newer version of a long value is told as its difference",
        "tests/node/traffic/sharing/test_longvalues.py::test_newer_version_is_made_of_its_difference",
        (
            Edit(
                f"{TRAFFIC}/sharing/changelog.py", "if base is not None and base.value is not None:", "if base is None:"
            ),
        ),
    ),
    Proof(
        "a value that a difference was not made for is not taken",
        "tests/node/traffic/sharing/test_longvalues.py::test_difference_that_gives_another_value_is_not_taken",
        (Edit(f"{TRAFFIC}/sharing/difference.py", "if compute_digest(value) != digest:", "if False:"),),
    ),
    Proof(
        "a relay does not fill its own link with long values",
        "tests/node/traffic/sharing/test_longvalues.py::test_relay_gives_values_one_after_the_other_and_refuses_who_would_wait_too_long",
        (Edit(f"{TRAFFIC}/sharing/longvalues.py", "await anyio.sleep(turn_at - now)", "await anyio.sleep(0)"),),
    ),
    Proof(
        "ages of relays are counted on the asker's clock",
        "tests/node/traffic/sharing/test_changes.py::test_time_of_the_word_is_never_taken_for_later_than_it_was",
        (
            Edit(
                f"{TRAFFIC}/sharing/changeclient.py",
                "sent_at = started + max(0.0, answer.held)",
                "sent_at = read_clock() + max(0.0, answer.held) - max(0.0, answer.held)",
            ),
        ),
    ),
    Proof(
        "a choice looks at few first servers, not at all",
        "tests/core/traffic/test_fleetload.py::test_requests_stay_with_few_first_servers_of_the_hall",
        (
            Edit(f"{CORE}/chains.py", "pick_firsts(self._node, self._hall, left)", "list(left)"),
            Edit(f"{CORE}/chains.py", "return paths[:MAX_CANDIDATES]", "return paths"),
        ),
    ),
    Proof(
        "a chain that misses the objective is chosen last",
        "tests/core/traffic/test_objectives.py::test_slow_reader_is_no_first_part_for_a_large_prompt",
        (Edit(f"{CORE}/chains.py", "path.cost += MISS_PENALTY_S", "pass"),),
    ),
    Proof(
        "free readers beyond the candidates of a node are searched",
        "tests/core/traffic/test_objectives.py::test_free_reader_beyond_the_candidates_of_the_node_is_found",
        (
            Edit(
                f"{CORE}/chains.py", "best = self._find_timely({server.id for server in firsts}, loads) or best", "pass"
            ),
        ),
    ),
    Proof(
        "requests with a long objective leave busy fast chains",
        "tests/core/traffic/test_objectives.py::test_long_objective_leaves_the_fast_chain_to_urgent_requests",
        (Edit(f"{CORE}/chains.py", "elif self._times.is_patient:", "elif False:"),),
    ),
    Proof(
        "only as many requests cross halls as the pipes carry",
        "tests/core/traffic/test_chains.py::test_chain_over_halls_is_for_as_many_requests_as_the_pipes_carry",
        (Edit(f"{CORE}/chains.py", "if self._may_cross(across_halls):", "if across_halls is not None:"),),
    ),
    Proof(
        "a loss that two nodes have found is told to all",
        "tests/node/traffic/sharing/test_losssharing.py::test_loss_found_behind_two_relays_is_known_to_all_relays",
        (
            Edit(f"{TRAFFIC}/sharing/losssharing.py", "if taken:", "if False:"),
            Edit(f"{CORE}/beliefs.py", "self.reported_until = until\n", "pass\n"),
        ),
    ),
    Proof(
        "candidates for the tenure come in turn",
        "tests/node/traffic/duties/test_candidacy.py::test_few_nodes_ask_the_store_when_the_tenure_is_free",
        (Edit(f"{TRAFFIC}/duties/tenure.py", "await anyio.sleep(rank * RANK_DELAY_S)", "await anyio.sleep(0)"),),
    ),
    Proof(
        "a forgotten history is told as differences",
        "tests/node/traffic/sharing/test_changelog.py::test_new_reading_is_told_as_what_differs",
        (Edit(f"{TRAFFIC}/sharing/changelog.py", "if self._complete_after is None:\n", "if True:\n"),),
    ),
    Proof(
        "a request that ends servers is sent no further",
        f"{SYSTEM}/test_deadly.py::test_request_that_ends_its_servers_reaches_few_of_them",
        (
            Edit(
                f"{TRAFFIC}/serving/requests.py",
                "return self.is_key_valid() and self.find_block() is None",
                "return self.is_key_valid()",
            ),
        ),
    ),
    Proof(
        "parts of prompts are suspected beside the content",
        "tests/core/traffic/test_blame.py::test_part_is_found_when_the_others_differ",
        (
            Edit(
                f"{CORE}/blame/contents.py",
                "return frozenset((self.content, *self.parts))",
                "return frozenset((self.content,))",
            ),
        ),
    ),
    Proof(
        "a part is blocked with its companions only",
        "tests/core/traffic/test_blame.py::test_part_is_blocked_after_crashes_of_two_requests",
        (
            Edit(
                f"{CORE}/blame/causes.py",
                "if identity in causes and causes[identity].companions <= held]",
                "if identity in causes]",
            ),
        ),
    ),
    Proof(
        "bystanders are excused by a cause that explains more crashes",
        "tests/core/traffic/test_blame.py::test_bystanders_of_two_crashes_are_excused_by_the_third",
        (Edit(f"{CORE}/blame/causes.py", "not any(cause.servers < servers for servers in groups) and ", ""),),
    ),
    Proof(
        "a request that was sent after a crash is not suspected",
        "tests/core/traffic/test_blame.py::test_request_that_was_sent_after_the_crash_is_not_suspected",
        (Edit(f"{CORE}/blame/crashes.py", "        if lost.sent_at > self.at:\n            return False\n", ""),),
    ),
    Proof(
        "a connection that a running server has reset does not tell when it crashes",
        "tests/core/traffic/test_blame.py::"
        "test_earlier_reset_by_a_running_server_does_not_excuse_the_cause_of_its_crash",
        (
            Edit(
                f"{CORE}/blame/pendingcrashes.py",
                "            self._pending[server].crashed_at = None\n",
                "            pass\n",
            ),
        ),
    ),
    Proof(
        "a run by another service clears no part",
        "tests/core/traffic/test_blame.py::test_part_is_neither_cleared_nor_blocked_by_servers_of_another_service",
        (Edit(f"{CORE}/servers.py", 'Software(f"{self.service}/{self.version}")', "Software(self.version)"),),
    ),
    Proof(
        "a part that another one explains as well is tried before requests with it are rejected",
        "tests/core/traffic/test_blame.py::"
        "test_part_that_explains_one_more_crash_than_another_is_tried_before_it_is_rejected",
        (Edit(f"{CORE}/blame/causes.py", "has_rival_part=_has_rival_part(cause, all_groups)", "has_rival_part=False"),),
    ),
    Proof(
        "a request is not rejected for two crashes while another one on the same servers explains them",
        "tests/core/traffic/test_blameevidence.py::"
        "test_one_of_two_requests_on_the_same_servers_is_rejected_once_the_other_is_cleared",
        (
            Edit(
                f"{CORE}/blame/causes.py",
                "has_rival_content=_has_rival_content(cause, all_groups[cause.servers])",
                "has_rival_content=False",
            ),
        ),
    ),
    Proof(
        "a request is not rejected before other nodes have reported what they had on the crashed servers",
        "tests/core/traffic/test_blameevidence.py::"
        "test_request_that_moved_with_the_cause_is_not_rejected_before_other_nodes_have_reported",
        (Edit(f"{CORE}/blame/crashboard.py", "self._clock() >= cause.settles_at", "True"),),
    ),
    Proof(
        "crashes of causes outlive other crashes",
        "tests/core/traffic/test_blame.py::test_confirmed_part_is_blocked_all_day_and_other_crashes_do_not_displace_it",
        (
            Edit(
                f"{CORE}/blame/crashboard.py",
                "(MAX_CRASH_AGE_S if server in of_causes else ORDINARY_CRASH_AGE_S)",
                "600.0",
            ),
        ),
    ),
    Proof(
        "a node that starts has a small part of the retry budget",
        "tests/core/traffic/test_retrymodel.py::test_kills_in_series_keep_the_budget[6]",
        (Edit(f"{CORE}/nodeshare.py", "(1.0 if is_settled else STARTING_SHARE)", "1.0"),),
    ),
    Proof(
        "parts of the retry budget grow only when a window has passed",
        "tests/core/traffic/test_retries.py::test_part_does_not_grow_while_nodes_that_left_may_have_spent_theirs",
        (Edit(f"{CORE}/nodeshare.py", "self._clock() - self._span", "self._clock()"),),
    ),
    Proof(
        "lost requests get their retries before refused ones",
        "tests/core/traffic/test_retries.py::test_waiting_requests_come_before_refused_ones",
        (Edit(f"{CORE}/retries.py", "if self.waiting and reason in", "if False and reason in"),),
    ),
    Proof(
        "an unexpected error ends one request",
        "tests/node/traffic/test_errors.py::test_error_outside_of_forwarding_is_answered",
        (
            Edit(
                "node/src/vaneturn_node/http1/server.py",
                "        except* Exception as group:",
                "        except* KeyError as group:",
            ),
        ),
    ),
    Proof(
        "a cut watch is no outage",
        f"{SYSTEM}/test_cutwatch.py",
        (Edit(f"{TRAFFIC}/following/storewatch.py", "self._has_succeeded and seconds < wait", "False"),),
    ),
    Proof(
        "resting connections close when a stopping node takes no more clients",
        f"{SYSTEM}/test_stopping.py::test_connection_that_rests_across_the_signal_is_closed_before_its_first_request",
        (
            Edit(
                f"{TRAFFIC}/process/daemon.py",
                "                self._lifecycle.idle.close_all()  #",
                "                pass  #",
            ),
        ),
    ),
    Proof(
        "a connection without a request yet is served after the signal",
        f"{SYSTEM}/test_stopping.py::test_connection_without_a_request_yet_is_served_after_the_signal",
        (Edit(f"{TRAFFIC}/process/stopping.py", "self.idle.close_used()", "self.idle.close_all()"),),
    ),
    Proof(
        "one request at a time tries a blocked identity",
        "tests/core/traffic/test_blame.py::test_blocked_part_is_tried_at_one_node_first_and_by_one_request",
        (
            Edit(
                f"{CORE}/blame/crashboard.py",
                'return is_trial or now > self._trials.get(cause.identity, float("-inf")) + TRIAL_INTERVAL_S',
                "return True",
            ),
        ),
    ),
    Proof(
        "the store holds the crashes of blocked parts",
        f"{SYSTEM}/test_deadlyparts.py::test_nodes_that_all_start_anew_know_the_part_from_the_store",
        (Edit(f"{TRAFFIC}/duties/crashrecords.py", "if self._board.join(crashes):", "if not crashes:"),),
    ),
    Proof(
        "a cut connection counts only when nobody listens at the server",
        f"{SYSTEM}/test_deadly.py::test_connections_that_are_reset_bar_nobody",
        (
            Edit(f"{TRAFFIC}/servers/crashwatch.py", "if isinstance(report, ServerReport):", "if report is None:"),
            Edit(f"{TRAFFIC}/servers/crashwatch.py", "if self._reports.is_gone(server.id):", "if True:"),
        ),
    ),
    Proof(
        "a checksum shows what a node does not know of ended servers",
        f"{SYSTEM}/test_deadly.py::test_node_that_starts_anew_is_told",
        (Edit(f"{TRAFFIC}/sharing/crashsharing.py", "if check == own:", "if True:"),),
    ),
    Proof(
        "a copy that waits is ended when its content is barred",
        f"{SYSTEM}/test_deadly.py::test_copy_that_waits_on_another_server_is_ended_before_it_runs",
        (Edit(f"{TRAFFIC}/serving/answering.py", "                scope.cancel()\n", "                pass\n"),),
    ),
    Proof(
        "a copy that has had events goes on when its content is barred",
        f"{SYSTEM}/test_deadly.py::test_copy_that_has_had_events_goes_on",
        (
            Edit(
                f"{TRAFFIC}/serving/answering.py",
                "if context.sends and not context.events else None",
                "if context.sends else None",
            ),
        ),
    ),
    Proof(
        "an answer begins with its first event",
        f"{SYSTEM}/test_deadly.py::test_answer_without_an_event_is_not_broken_off",
        (
            Edit(
                f"{TRAFFIC}/serving/clientstream.py",
                "        self._head = head\n",
                "        self._head = head\n        self.is_begun = True\n",
            ),
        ),
    ),
    Proof(
        "a content that ended well anywhere is cleared",
        "tests/core/traffic/test_crashes.py::test_request_that_ends_well_anywhere_is_cleared_everywhere",
        (Edit(f"{CORE}/blame/crashes.py", "Suspicion.CLEARED: 0}", "Suspicion.CLEARED: 3}"),),
    ),
    Proof(
        "what is known gets old while the VM is suspended",
        "tests/node/traffic/test_suspension.py::test_no_keyed_request_runs_on_keys_out_of_date",
        (Edit("node/src/vaneturn_node/clock.py", "time.clock_gettime(time.CLOCK_BOOTTIME)", "time.monotonic()"),),
    ),
    Proof(
        "waits are shortened by a suspension",
        "tests/node/traffic/test_suspension.py::test_request_whose_time_is_over_ends_at_once[plain]",
        (Edit(f"{TRAFFIC}/serving/answering.py", "scope.deadline -= seconds", "scope.deadline -= 0.0"),),
    ),
    Proof(
        "a new start of a server has nothing of the one before",
        "tests/node/traffic/following/test_serverentries.py::test_new_start_has_nothing_of_the_one_before",
        (Edit(f"{CORE}/servers.py", 'name if born is None else f"{name}@{born}"', "name"),),
    ),
    Proof(
        "a silence is borne for what the caller leaves",
        "tests/core/traffic/test_patience.py::test_streams_over_a_lost_server_go_on_in_time[1]",
        (Edit(f"{CORE}/patience.py", "if objective is None or normal_pause is None:", "if True:"),),
    ),
    Proof(
        "a look ends beside the answers of most others",
        "tests/core/traffic/test_hearing.py::test_silence_shows_beside_the_answers_of_the_same_look",
        (Edit(f"{CORE}/hearing.py", "if 2 * len(answers) <= asked:", "if True:"),),
    ),
    Proof(
        "a part that had just worked is asked soon after",
        "tests/node/traffic/servers/test_lossfinding.py::test_part_that_had_just_worked_is_asked_soon_after",
        (
            Edit(
                f"{TRAFFIC}/servers/lossfinding.py",
                "return self._unanswered > 0 or self._has_skipped",
                "return self._unanswered > 0",
            ),
        ),
    ),
    Proof(
        "requests of the first moments wait for the configuration",
        f"{SYSTEM}/test_starting.py::test_request_of_the_first_moment_waits_for_the_configuration",
        (Edit(f"{CORE}/startup.py", "WAIT_SHARE: Final = 0.5", "WAIT_SHARE: Final = 0.0"),),
    ),
    Proof(
        "a store that is away for all is left to the relays",
        "tests/node/traffic/following/test_follower.py::test_node_leaves_a_store_that_is_away_to_its_relays",
        (Edit(f"{TRAFFIC}/following/relaychoice.py", "read_clock() >= self._direct_calls_from", "True"),),
    ),
    Proof(
        "a request that has arrived with the signal is read",
        "tests/node/traffic/test_connection.py::test_request_sent_at_the_moment_of_a_stop_is_answered",
        (
            Edit(
                "node/src/vaneturn_node/http1/requestreader.py",
                "return await self._read_first(LAST_WAIT_S)",
                "return False",
            ),
        ),
    ),
    Proof(
        "newest values are read in place of changes that are too long",
        f"{SYSTEM}/test_catchup.py::test_node_that_missed_many_long_versions_serves_again",
        (
            Edit(
                f"{PLATFORM}/store.py", "return Rejection.UNFINISHED if failed.is_unfinished else None", "return None"
            ),
            Edit(f"{TRAFFIC}/following/storewatch.py", "return revision != self._unusable_after", "return True"),
        ),
    ),
    Proof(
        "values are read for as long as they arrive",
        f"{SYSTEM}/test_catchup.py::test_node_reads_the_longest_value_over_the_slowest_link",
        (Edit(f"{PLATFORM}/store.py", "BodyArrival(math.inf, MAX_SILENCE_S)", "BodyArrival(0.0, MAX_SILENCE_S)"),),
    ),
    Proof(
        "the next nodes stand in for relays that were left",
        "tests/node/traffic/following/test_follower.py::test_next_nodes_stand_in_for_relays_that_the_store_turns_away",
        (Edit(f"{CORE}/relays.py", "[node for node in nodes if node not in left]", "nodes"),),
    ),
    Proof(
        "requests are forwarded while no server can be reached",
        f"{SYSTEM}/test_partitions.py::test_requests_go_past_nodes_that_are_cut_off_too",
        (
            Edit(
                f"{TRAFFIC}/serving/peerforwarding.py",
                "while not context.is_forwarded and len(asked)",
                "while context.is_forwarded and len(asked)",
            ),
        ),
    ),
    Proof(
        "streams leave a lost path",
        f"{SYSTEM}/test_partitions.py::test_stream_in_progress_resumes_over_another_node",
        (Edit(f"{TRAFFIC}/serving/repair.py", "            await self._leave_lost_path()\n", ""),),
    ),
    Proof(
        "a refused connection shows a crash only beside servers that accept",
        "tests/node/traffic/servers/test_connectivity.py"
        "::test_refused_connection_shows_a_crash_only_beside_servers_that_accept",
        (
            Edit(
                f"{TRAFFIC}/servers/crashwatch.py",
                "if not await self._connectivity.check(server.service, read_clock()):",
                "if self._board is None:",
            ),
        ),
    ),
    Proof(
        "a node without a path gives up the tenure",
        f"{SYSTEM}/test_partitions.py::test_node_without_a_path_gives_up_the_orders_to_servers",
        (Edit(f"{TRAFFIC}/duties/placing.py", "                await self._tenure.step_down()\n", ""),),
    ),
    Proof(
        "a stream that ends inside an event is broken off in any framing",
        f"{SYSTEM}/test_brokenoff.py::test_stream_that_ends_inside_an_event_is_not_complete_though_its_framing_says_so",
        (Edit(f"{CORE}/completeness.py", "if not is_orderly or is_cut or (", "if not is_orderly or ("),),
    ),
    Proof(
        "an answer that ends with its connection is whole if its server runs on",
        f"{SYSTEM}/test_brokenoff.py::test_plain_answer_whose_server_ended_with_it_is_not_complete",
        (
            Edit(
                f"{CORE}/completeness.py",
                "if end.framing is Framing.CLOSE and end.body_end is not BodyEnd.AFTER_DOCUMENT:",
                "if end.framing is None:",
            ),
        ),
    ),
    Proof(
        "an HTTP/1.0 client sees that its answer was broken off",
        f"{SYSTEM}/test_brokenoff.py::test_http_1_0_client_sees_that_its_answer_was_broken_off",
        (
            Edit(
                "node/src/vaneturn_node/http1/clientanswer.py",
                "            self._stream.reset_on_close(is_reset=True)\n",
                "            pass\n",
            ),
        ),
    ),
    Proof(
        "a stream is not resumed after an event without an id",
        f"{SYSTEM}/test_brokenoff.py::test_stream_whose_newest_event_has_no_id_is_not_resumed",
        (Edit(f"{TRAFFIC}/serving/trypreparation.py", "if not client.can_resume:", "if client is None:"),),
    ),
    Proof(
        "a node that lacks something for one request is asked for others",
        "tests/core/traffic/test_peerchoice.py::test_node_that_has_no_retry_budget_for_one_request_is_asked_for_the_next",
        (Edit(f"{CORE}/peerchoice.py", "DeclineReason.NOT_ADMITTED: 0.0,", "DeclineReason.NOT_ADMITTED: 1.0,"),),
    ),
)
