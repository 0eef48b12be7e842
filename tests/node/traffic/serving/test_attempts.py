"""A request may run on as many servers as its route allows, however often it is sent to one of them."""

from __future__ import annotations

import pytest

from vaneturn_core.traffic.servers import ServerId
from vaneturn_node.traffic.serving.attempts import AttemptLoan, Attempts

FIRST, SECOND, THIRD = map(ServerId, ("i-0001", "i-0002", "i-0003"))


def test_second_run_on_a_server_is_no_further_attempt() -> None:
    attempts = Attempts()
    for server in (FIRST, SECOND, FIRST):
        attempts.record(server)
    assert attempts.count == 2


def test_server_that_has_ended_counts_no_more() -> None:
    attempts = Attempts()
    attempts.record(FIRST)
    attempts.drop(FIRST)
    attempts.drop(SECOND)
    assert attempts.count == 0


def test_lost_server_counts_again_once_it_is_heard() -> None:
    lost = {FIRST}
    attempts = Attempts(is_lost=lost.__contains__)
    attempts.record(FIRST)
    attempts.record(SECOND)
    assert (attempts.count, attempts.servers) == (1, frozenset({SECOND}))
    assert attempts.allow(ServerId("i-0003"), 2)
    assert not attempts.allow(FIRST, 1)
    lost.clear()
    assert (attempts.count, attempts.allow(ServerId("i-0003"), 2)) == (2, False)


def test_server_that_is_lost_to_this_node_does_not_count_in_what_another_node_has_begun() -> None:
    assert Attempts(is_lost={FIRST}.__contains__).resume(2, [FIRST, SECOND]).count == 1


def test_count_goes_on_at_another_node() -> None:
    """The other node knows some servers by id; a run on one of these is no further attempt."""
    attempts = Attempts(3, [FIRST])
    attempts.record(FIRST)
    assert (attempts.count, attempts.servers) == (3, frozenset({FIRST}))
    attempts.record(SECOND)
    assert attempts.count == 4


@pytest.mark.parametrize(
    ("stated", "expected"),
    [pytest.param(2, 2, id="used"), pytest.param(1, 1, id="not used"), pytest.param(0, 1, id="less")],
)
def test_attempt_lent_to_another_node_counts_until_that_node_states_that_it_is_unused(
    stated: int, expected: int
) -> None:
    attempts = Attempts()
    attempts.record(FIRST)
    loan = AttemptLoan(attempts, max_attempts=2)
    assert (attempts.count, loan.count) == (2, 1)
    loan.settle(stated)
    assert attempts.count == expected
    loan.take_back()
    assert attempts.count == 1


def test_other_node_may_run_a_request_on_one_further_server() -> None:
    attempts = Attempts()
    loan = AttemptLoan(attempts, max_attempts=3)
    assert Attempts(loan.count).count == 2
    assert attempts.count == 1


def test_spent_attempts_are_not_lent() -> None:
    attempts = Attempts(2, [FIRST])
    loan = AttemptLoan(attempts, max_attempts=2)
    assert (attempts.count, loan.count) == (2, 2)
    loan.take_back()
    assert attempts.count == 2


def test_server_that_the_other_node_names_may_be_asked_again() -> None:
    """It counted without its id, so that no node asked it once the attempts were spent."""
    attempts = Attempts()
    attempts.record(FIRST)
    loan = AttemptLoan(attempts, max_attempts=2)
    loan.settle(2, [FIRST, SECOND])
    assert (attempts.count, attempts.servers) == (2, frozenset({FIRST, SECOND}))
    assert not attempts.has_unnamed
    assert attempts.allow(SECOND, max_attempts=2)
    assert not attempts.allow(THIRD, max_attempts=2)


def test_server_that_the_other_node_has_replaced_counts_no_more() -> None:
    """The other node counts a server no more when it has ended, and may send the request to the next one."""
    attempts = Attempts()
    loan = AttemptLoan(attempts, max_attempts=2)
    loan.settle(2, [FIRST])
    loan.settle(2, [SECOND])
    assert attempts.servers == {SECOND}
    loan.settle(1, [])
    assert attempts.count == 0


@pytest.mark.parametrize(
    ("stated", "servers", "expected"),
    [
        pytest.param(1, [FIRST], 2, id="goes on at a server that counts"),
        pytest.param(2, [FIRST, SECOND], 2, id="has used it"),
        pytest.param(1, [SECOND], 3, id="has replaced a server that has ended"),
        pytest.param(2, [], 2, id="names none"),
        pytest.param(0, [], 2, id="less"),
    ],
)
def test_stream_of_another_node_that_goes_on_gives_no_attempt_back(
    stated: int, servers: list[ServerId], expected: int
) -> None:
    """That node may move the stream to a further server, and be lost before it can say so."""
    attempts = Attempts()
    attempts.record(FIRST)
    loan = AttemptLoan(attempts, max_attempts=2)
    loan.record_begun(stated, servers)
    assert attempts.count == expected
    assert attempts.servers == {FIRST, *servers}


def test_servers_of_this_node_count_though_the_other_node_does_not_count_them() -> None:
    attempts = Attempts()
    attempts.record(FIRST)
    loan = AttemptLoan(attempts, max_attempts=3)
    loan.settle(3, [SECOND])
    loan.take_back()
    assert attempts.servers == {FIRST}


def test_server_that_is_cut_off_from_this_node_counts_while_another_node_uses_it() -> None:
    """A node without a path counted no server of the nodes that it had forwarded a stream to, which ran on a third."""
    attempts = Attempts(is_cut_off=lambda: True)
    attempts.record(FIRST)
    assert attempts.count == 0
    loan = AttemptLoan(attempts, max_attempts=2)
    loan.record_begun(2, [SECOND])
    assert attempts.servers == {SECOND}


def test_server_that_another_node_used_in_place_of_one_that_it_lost_counts() -> None:
    attempts = Attempts()
    attempts.record(FIRST)
    loan = AttemptLoan(attempts, max_attempts=2)
    loan.settle(1, [SECOND])
    assert attempts.servers == {FIRST, SECOND}


def test_lost_server_of_this_node_counts_again_after_another_node_has_named_it() -> None:
    lost = {FIRST}
    attempts = Attempts(is_lost=lost.__contains__)
    attempts.record(FIRST)
    loan = AttemptLoan(attempts, max_attempts=2)
    loan.settle(2, [FIRST])
    loan.settle(1, [])
    lost.clear()
    assert attempts.servers == {FIRST}


def test_attempts_that_are_not_lent_count_without_an_id() -> None:
    loan = AttemptLoan(Attempts(), max_attempts=2)
    assert Attempts(loan.count).has_unnamed


def test_server_that_two_other_nodes_have_named_counts_until_neither_does() -> None:
    """The count of a node that a request was taken back from may arrive while the next node runs it."""
    attempts = Attempts()
    withdrawn, current = (AttemptLoan(attempts, max_attempts=3) for _ in range(2))
    current.record_begun(3, [FIRST])
    withdrawn.settle(3, [FIRST])
    current.settle(2, [])
    assert attempts.count == 1
    assert attempts.servers == {FIRST}
    withdrawn.settle(2, [])
    assert attempts.count == 0
