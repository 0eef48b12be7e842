"""Parts of prompts are blamed for crashes of servers, and requests that share other parts with the cause run."""

from __future__ import annotations

import pytest

from core.traffic.test_crashes import SERVERS, V1, V2, Scene
from vaneturn_core.identifiers import ServiceName
from vaneturn_core.traffic.blame.clearances import CLEARANCE_AGE_S, MAX_CLEARED_PARTS, MAX_SOFTWARE, Clearances
from vaneturn_core.traffic.blame.contents import Content, Fingerprint, PromptPart
from vaneturn_core.traffic.blame.crashboard import (
    CONFIRMED_TIME_S,
    CONTEST_TIME_S,
    DOUBT_TIME_S,
    TRIAL_INTERVAL_S,
    CrashBoard,
)
from vaneturn_core.traffic.blame.crashes import LostRequest, ServerCrash, Suspicion
from vaneturn_core.traffic.blame.pendingcrashes import MAX_PENDING_AGE_S
from vaneturn_core.traffic.servers import BackendServer, ServerAddress, ServerId, ServerName, ServerState, Software

DEADLY, FIRST, OTHER, RARE = (PromptPart(number) for number in (0xDEAD, 0xA1, 0xB2, 0xC3))


def ask(content: int, *parts: PromptPart) -> Fingerprint:
    return Fingerprint(Content(content), parts)


def test_part_is_blocked_after_crashes_of_two_requests() -> None:
    scene = Scene()
    scene.end(0, ask(1, FIRST, DEADLY))
    scene.end(1, ask(2, FIRST, DEADLY))
    assert scene.board.is_blocked(ask(3, FIRST, DEADLY))
    assert not scene.board.is_blocked(ask(3, FIRST))
    assert not scene.board.is_blocked(ask(3, DEADLY)), "it is not known which of the two parts is the cause"


def test_two_crashes_of_one_request_blame_it_alone() -> None:
    """Its content may be the cause as well as a part, and the parts of a new fleet's requests are all uncleared."""
    scene = Scene()
    scene.end(0, ask(1, FIRST, DEADLY))
    scene.end(1, ask(1, FIRST, DEADLY))
    assert scene.board.is_blocked(ask(1, FIRST, DEADLY))
    assert not scene.board.is_blocked(ask(2, FIRST, DEADLY))
    scene.end(2, ask(2, FIRST, DEADLY))
    assert scene.board.is_blocked(ask(3, FIRST, DEADLY))


def test_part_is_found_when_the_others_differ() -> None:
    scene = Scene()
    scene.end(0, ask(1, FIRST, OTHER, DEADLY))
    scene.end(1, ask(1, FIRST, OTHER, DEADLY))
    scene.end(2, ask(2, DEADLY, RARE))
    assert scene.board.is_blocked(ask(3, DEADLY))
    assert not scene.board.is_blocked(ask(3, FIRST, OTHER, RARE))


def test_part_that_ran_well_is_cleared_and_its_companion_is_not() -> None:
    scene = Scene()
    scene.end(0, ask(1, FIRST, DEADLY))
    scene.end(1, ask(2, FIRST, DEADLY))
    assert FIRST in scene.board.record_completion(ask(3, FIRST), V1)
    assert scene.board.is_blocked(ask(4, DEADLY))
    assert not scene.board.is_blocked(ask(4, FIRST, OTHER))


def test_parts_that_always_come_together_are_blocked_together() -> None:
    scene = Scene()
    for server in range(3):
        scene.end(server, ask(server, OTHER, DEADLY))
    assert scene.board.is_blocked(ask(9, OTHER, DEADLY))
    assert not scene.board.is_blocked(ask(9, OTHER))


def test_two_parts_beside_the_same_first_one_are_blamed_and_the_first_is_not() -> None:
    scene = Scene()
    for server, part in enumerate((DEADLY, RARE, DEADLY, RARE)):
        scene.end(server, ask(server, FIRST, part))
    assert scene.board.is_blocked(ask(9, FIRST, DEADLY))
    assert scene.board.is_blocked(ask(9, FIRST, RARE))
    assert not scene.board.is_blocked(ask(9, FIRST))


def test_parts_of_bystanders_do_not_excuse_the_cause() -> None:
    """Between them, two parts of bystanders were on all crashed servers."""
    scene = Scene()
    scene.end(0, ask(1, DEADLY), ask(2, OTHER), ask(3, RARE))
    scene.end(1, ask(4, DEADLY), ask(5, OTHER))
    scene.end(2, ask(6, DEADLY), ask(7, OTHER))
    scene.end(3, ask(8, DEADLY), ask(9, RARE))
    assert scene.board.is_blocked(ask(10, DEADLY))
    assert not scene.board.is_blocked(ask(10, OTHER))
    assert not scene.board.is_blocked(ask(10, RARE))


def test_bystanders_of_two_crashes_are_excused_by_the_third() -> None:
    scene = Scene()
    scene.board.record_completion(ask(9, OTHER), V1)
    for server in range(2):
        scene.end(server, ask(1, DEADLY), ask(2, OTHER), ask(3))
    assert scene.board.is_blocked(ask(1, DEADLY))
    assert not scene.board.is_blocked(ask(2, OTHER)), "its parts run well, and a part that may not was there too"
    assert scene.board.is_blocked(ask(3))
    scene.end(2, ask(4, DEADLY))
    assert scene.board.is_blocked(ask(5, DEADLY))
    assert not scene.board.is_blocked(ask(2, OTHER))
    assert not scene.board.is_blocked(ask(3))


def test_request_that_was_sent_after_the_crash_is_not_suspected() -> None:
    scene, other = Scene(), Scene()
    for server in SERVERS[:2]:
        other.board.record_lost_connection(server, V1, LostRequest(ask(1, DEADLY), Suspicion.UNHEARD, 99.9))
        other.board.confirm(server)
    scene.now += 0.1
    late = LostRequest(ask(2, OTHER), Suspicion.UNHEARD, 100.05)
    scene.board.record_lost_connection(SERVERS[0], V1, late)
    scene.board.join(other.board.list_crashes())
    scene.board.record_lost_connection(SERVERS[1], V1, late)
    assert not scene.board.is_blocked(ask(2, OTHER))
    assert scene.board.is_blocked(ask(1, DEADLY))


def test_clearances_are_bounded_and_expire() -> None:
    now = 0.0
    clearances = Clearances(lambda: now)
    for number in range(2 * MAX_CLEARED_PARTS):
        clearances.record(ask(number, PromptPart(number + 1)), V1)
    known = clearances.select([PromptPart(number + 1) for number in range(2 * MAX_CLEARED_PARTS)], V1)
    assert known == [PromptPart(number + 1) for number in range(MAX_CLEARED_PARTS, 2 * MAX_CLEARED_PARTS)]
    now += CLEARANCE_AGE_S + 1.0
    assert clearances.select(known, V1) == []
    for number in range(MAX_SOFTWARE + 1):
        clearances.record(ask(1, OTHER), Software(f"llm/v{number}"))
    kept = [n for n in range(MAX_SOFTWARE + 1) if clearances.has_content(Content(1), Software(f"llm/v{n}"))]
    assert kept == list(range(1, MAX_SOFTWARE + 1))


def test_popular_part_beside_the_cause_on_all_its_servers_runs_until_it_is_cleared() -> None:
    """In a new fleet, the cause came with a popular part twice, then beside a request that has this part."""
    scene = Scene()
    scene.end(0, ask(1, FIRST, DEADLY))
    scene.end(1, ask(1, FIRST, DEADLY))
    scene.end(2, ask(2, OTHER, DEADLY), ask(3, FIRST, RARE))
    assert not scene.board.is_blocked(ask(4, FIRST, RARE))
    scene.board.record_completion(ask(5, FIRST), V1)
    assert scene.board.is_blocked(ask(6, OTHER, DEADLY))


def test_cause_that_another_may_explain_is_tried_soon() -> None:
    """The harmless part was also on a server that crashed by itself, so that it seems to explain more crashes."""
    scene = Scene()
    scene.end(0, ask(1, FIRST, DEADLY))
    scene.end(1, ask(1, FIRST, DEADLY))
    scene.end(2, ask(2, DEADLY), ask(3, FIRST))
    scene.end(3, ask(4, FIRST))
    scene.end(4, ask(5, DEADLY))
    assert scene.board.is_blocked(ask(6, DEADLY))
    assert scene.board.is_blocked(ask(6, FIRST))
    scene.now += CONTEST_TIME_S + 1.0
    assert scene.board.begin_trial(ask(7, FIRST))
    scene.board.record_completion(ask(7, FIRST), V1)
    assert not scene.board.is_blocked(ask(8, FIRST))
    assert scene.board.is_blocked(ask(8, DEADLY)), "confirmed, as nothing else explains its crashes now"


def test_part_that_explains_one_more_crash_than_another_is_tried_before_it_is_rejected() -> None:
    """A harmless part was on all servers that the cause crashed, and on one that crashed without a request's doing."""
    scene = Scene()
    for server in range(2):
        scene.end(server, ask(1, OTHER, DEADLY))
    scene.end(2, ask(2, RARE, DEADLY), ask(3, OTHER))
    scene.end(3, ask(4, OTHER))
    block = scene.board.find_block(ask(5, OTHER))
    assert block is not None
    assert block.is_contested
    scene.now += CONTEST_TIME_S + 1.0
    assert scene.board.begin_trial(ask(6, OTHER))
    scene.board.record_completion(ask(6, OTHER), V1)
    assert not scene.board.is_blocked(ask(7, OTHER))
    block = scene.board.find_block(ask(8, DEADLY))
    assert block is not None
    assert block.is_confirmed


def test_request_with_a_contested_cause_and_another_one_is_blocked_for_the_other() -> None:
    """So that it gets its final answer at once."""
    scene = Scene(software={V1, V2})
    for server in range(2):
        scene.end(server, ask(server, OTHER, RARE))
    scene.end(2, ask(2, RARE), ask(3, OTHER))
    scene.end(3, ask(4, OTHER))
    for server in (4, 5, 6):
        scene.end(server, ask(server, DEADLY), software=V2)
    for parts in ((OTHER, DEADLY), (DEADLY, OTHER)):
        block = scene.board.find_block(ask(9, *parts))
        assert block is not None
        assert block.identity == DEADLY


def test_part_that_still_crashes_servers_when_tried_is_not_contested_any_more() -> None:
    scene = Scene()
    for server in range(2):
        scene.end(server, ask(server, DEADLY), ask(10 + server, OTHER))
    scene.end(2, ask(2, DEADLY))
    scene.now += CONTEST_TIME_S + 1.0
    assert scene.board.begin_trial(ask(3, DEADLY))
    scene.end(3, ask(3, DEADLY))
    scene.now += CONFIRMED_TIME_S / 2
    assert scene.board.is_blocked(ask(4, DEADLY))
    assert len(scene.board.list_crashes()) == 4


def test_contested_cause_is_not_tried_again_and_again() -> None:
    """A part of a bystander that never comes again contests the cause."""
    scene = Scene()
    scene.end(0, ask(1, DEADLY), ask(2, RARE))
    scene.end(1, ask(1, DEADLY), ask(2, RARE))
    scene.end(2, ask(3, RARE))
    for server in range(3, 6):
        scene.end(server, ask(server, DEADLY))
    scene.now += CONFIRMED_TIME_S / 2
    assert scene.board.is_blocked(ask(9, DEADLY))


def test_copies_of_a_content_with_other_parts_are_suspected_with_all_of_them() -> None:
    scene = Scene()
    scene.end(0, ask(1, FIRST, DEADLY), ask(1, FIRST, OTHER))
    scene.end(1, ask(2, FIRST, DEADLY))
    assert scene.board.is_blocked(ask(3, FIRST, DEADLY))
    assert not scene.board.is_blocked(ask(3, FIRST, OTHER))


def test_part_deadly_on_one_software_may_run_once_that_is_out_of_use() -> None:
    scene = Scene(software={V1, V2})
    scene.board.record_completion(ask(7, DEADLY), V2)
    for server in range(3):
        scene.end(server, ask(server, DEADLY))
    assert scene.board.is_blocked(ask(9, DEADLY))
    scene.software = {V2}
    assert not scene.board.is_blocked(ask(9, DEADLY))


def test_part_is_neither_cleared_nor_blocked_by_servers_of_another_service() -> None:
    """Two services run the same version of their own software; the part crashes the servers of one."""
    letters, notes = (
        BackendServer(
            ServerId(service), ServerName(service), ServiceName(service), ServerAddress(f"127.0.0.1:{port}"),
            hall="east", state=ServerState.READY, slots=1, kind=None, layers=(), version="v1",
        )
        for port, service in enumerate(("letters", "notes"))
    )  # fmt: skip
    scene = Scene(software={letters.software, notes.software})
    for server in range(3):
        scene.board.record_completion(ask(10 + server, DEADLY), notes.software)
        scene.end(server, ask(server, DEADLY), software=letters.software)
    assert scene.board.is_blocked(ask(9, DEADLY), letters.service)
    assert not scene.board.is_blocked(ask(9, DEADLY), notes.service)
    assert not scene.board.begin_trial(ask(9, DEADLY), notes.service)


def test_confirmed_part_is_blocked_all_day_and_other_crashes_do_not_displace_it() -> None:
    scene = Scene()
    for server in range(3):
        scene.end(server, ask(server, DEADLY))
    for number in range(200):
        scene.now += 400.0
        scene.board.join({ServerId(f"x-{number}"): ServerCrash(scene.now, V1, {Content(1000 + number): Suspicion(2)})})
        assert scene.board.is_blocked(ask(9, DEADLY))
    assert len(scene.board.list_crashes()) <= 5


def test_blocked_part_is_tried_at_one_node_first_and_by_one_request() -> None:
    scene = Scene()
    scene.board = CrashBoard(lambda: scene.now, lambda _: scene.software, lambda _: 30.0)
    scene.end(0, ask(1, DEADLY))
    scene.end(1, ask(2, DEADLY))
    scene.now += DOUBT_TIME_S + 1.0
    assert scene.board.is_blocked(ask(3, DEADLY)), "other nodes try first"
    scene.now += 30.0
    assert not scene.board.is_blocked(ask(3, DEADLY))
    assert scene.board.begin_trial(ask(3, DEADLY))
    assert scene.board.find_block(ask(3, DEADLY), is_trial=True) is None
    assert scene.board.is_blocked(ask(4, DEADLY))
    scene.end(2, ask(3, DEADLY))
    assert scene.board.find_block(ask(3, DEADLY), is_trial=True) is not None
    scene.now += CONFIRMED_TIME_S - 1.0
    assert scene.board.is_blocked(ask(4, DEADLY))


def test_trial_that_runs_well_ends_the_block() -> None:
    scene = Scene()
    scene.end(0, ask(1, OTHER))
    scene.end(1, ask(2, OTHER))
    scene.now += DOUBT_TIME_S + TRIAL_INTERVAL_S
    assert scene.board.begin_trial(ask(3, OTHER))
    scene.board.record_completion(ask(3, OTHER), V1)
    assert not scene.board.is_blocked(ask(4, OTHER))


def test_companions_are_lifted_together() -> None:
    scene = Scene()
    for server in range(3):
        scene.end(server, ask(server, FIRST, DEADLY))
    assert scene.board.lift(DEADLY)
    assert not scene.board.is_blocked(ask(9, FIRST, DEADLY))
    assert not scene.board.is_blocked(ask(9, FIRST))


@pytest.mark.parametrize("suspicion", [Suspicion.BEGUN, Suspicion.UNHEARD])
def test_lifted_part_may_run_until_it_crashes_servers_again(suspicion: Suspicion) -> None:
    scene = Scene()
    for server in range(3):
        scene.end(server, ask(server, DEADLY))
    other = Scene()
    other.board.join(scene.board.list_crashes())
    assert scene.board.lift(DEADLY)
    assert not scene.board.lift(DEADLY)
    other.board.join(scene.board.list_crashes())
    assert not other.board.is_blocked(ask(9, DEADLY))
    for server in (3, 4, 5):
        scene.end(server, ask(10 + server, DEADLY), word=suspicion)
    assert scene.board.is_blocked(ask(9, DEADLY))


def test_part_is_found_on_a_full_server_whose_other_parts_run_well() -> None:
    """Cleared identities took the places of the cause among the suspects of a crash."""
    scene = Scene()
    popular = [PromptPart(0xF000 + number) for number in range(200)]
    for number, part in enumerate(popular):
        scene.board.record_completion(ask(number, part), V1)
    for server in range(2):
        requests = [ask(1000 * (server + 1) + number, popular[number], popular[-number]) for number in range(190)]
        scene.end(server, *requests, ask(server, OTHER), ask(500 + server, DEADLY))
    assert scene.board.is_blocked(ask(9, DEADLY, OTHER))


def test_cause_that_was_cancelled_just_before_the_crash_is_suspected() -> None:
    """A request with the cause was cancelled as blocked, and its server crashed 54 ms later beside a bystander."""
    scene = Scene()
    for server in range(2):
        scene.end(server, ask(server, DEADLY))
    scene.end(2, ask(2, DEADLY), ask(3, OTHER))
    cancelled = LostRequest(ask(4, DEADLY), Suspicion.UNHEARD, scene.now - 0.1)
    scene.board.record_lost_connection(SERVERS[3], V1, cancelled, is_cancelled=True)
    scene.now += 0.05
    scene.end(3, ask(3, OTHER))
    assert not scene.board.is_blocked(ask(3, OTHER))
    assert len(scene.board.causes[DEADLY].servers) == 4
    assert scene.board.list_crashes()[SERVERS[3]].at == scene.now


def test_server_that_leaves_after_a_request_was_cancelled_has_not_crashed() -> None:
    scene = Scene()
    for server in range(2):
        cancelled = LostRequest(ask(1, DEADLY), Suspicion.UNHEARD)
        scene.board.record_lost_connection(SERVERS[server], V1, cancelled, is_cancelled=True)
    assert scene.board.confirm_absent([]) == []
    assert not scene.board.is_blocked(ask(1, DEADLY))


def test_earlier_reset_by_a_running_server_does_not_excuse_the_cause_of_its_crash() -> None:
    """A server reset a connection and went on; the requests that crashed it later were sent after that."""
    scene = Scene()
    for server in range(2):
        reset = LostRequest(ask(10 + server, OTHER), Suspicion.UNHEARD, scene.now - 0.1)
        scene.board.record_lost_connection(SERVERS[server], V1, reset)
        scene.board.record_running(SERVERS[server])
        scene.now += 2.0
        scene.end(server, ask(server, DEADLY), sent_at=scene.now - 0.1)
    assert scene.board.is_blocked(ask(9, DEADLY))
    assert not scene.board.is_blocked(ask(9, OTHER))
    assert {crash.at for crash in scene.board.list_crashes().values()} == {102.0, 104.0}


def test_recent_loss_is_kept_beside_one_of_a_connection_reset_long_before() -> None:
    scene = Scene()
    for server in range(2):
        scene.board.record_lost_connection(SERVERS[server], V1, LostRequest(ask(10, OTHER), Suspicion.UNHEARD))
        scene.board.record_running(SERVERS[server])
        scene.now += 0.8 * MAX_PENDING_AGE_S
        scene.board.record_lost_connection(SERVERS[server], V1, LostRequest(ask(server, DEADLY), Suspicion.UNHEARD))
        scene.now += 0.4 * MAX_PENDING_AGE_S
        scene.board.record_lost_connection(SERVERS[5], V1, LostRequest(ask(20, RARE), Suspicion.UNHEARD))
        scene.board.confirm_absent(SERVERS[server + 1 :])
    assert scene.board.is_blocked(ask(9, DEADLY))
