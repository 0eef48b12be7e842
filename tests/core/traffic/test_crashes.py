"""A request is barred after crashes of servers that had just begun to run it; others are not, or are cleared."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from vaneturn_core.traffic.blame.contents import Content, Fingerprint, Identity, digest_content
from vaneturn_core.traffic.blame.crashboard import DOUBT_TIME_S, MAX_CRASH_AGE_S, MAX_CRASHES, CrashBoard
from vaneturn_core.traffic.blame.crashes import MAX_SUSPECTS, LostRequest, ServerCrash, Suspicion
from vaneturn_core.traffic.servers import ServerId, Software

GUILTY, OTHER = Fingerprint(Content(1)), Fingerprint(Content(2))
V1, V2 = Software("llm/v1"), Software("llm/v2")
SERVERS = [ServerId(f"i-{number}") for number in range(8)]


@dataclass
class Scene:
    """A crash board with its own clock and set of listed software versions."""

    now: float = 100.0
    software: set[Software] = field(default_factory=lambda: {V1})

    def __post_init__(self) -> None:
        self.board = CrashBoard(
            lambda: self.now,
            lambda service: {one for one in self.software if service is None or one.startswith(f"{service}/")},
        )

    def end(
        self,
        server: int,
        *requests: Fingerprint,
        word: Suspicion = Suspicion.UNHEARD,
        software: Software = V1,
        sent_at: float = float("-inf"),
    ) -> None:
        for request in requests:
            self.board.record_lost_connection(SERVERS[server], software, LostRequest(request, word, sent_at))
        self.board.confirm(SERVERS[server])


def test_content_is_the_same_for_the_same_place_caller_and_body() -> None:
    known = digest_content("desk.example", "POST", "/letter/1", "broker", b"letter")
    assert known == digest_content("desk.example", "POST", "/letter/1", "broker", b"letter")
    others = [
        digest_content("other.example", "POST", "/letter/1", "broker", b"letter"),
        digest_content("desk.example", "POST", "/letter/2", "broker", b"letter"),
        digest_content("desk.example", "POST", "/letter/1", "other", b"letter"),
        digest_content("desk.example", "POST", "/letter/1", "broker", b"letters"),
    ]
    assert len({known, *others}) == 5


def test_two_ends_before_the_first_event_bar_a_request() -> None:
    scene = Scene()
    scene.end(0, GUILTY, OTHER)
    assert not scene.board.is_blocked(GUILTY)
    scene.end(1, GUILTY)
    assert scene.board.is_blocked(GUILTY)
    assert not scene.board.is_blocked(OTHER)
    cause = scene.board.find_block(GUILTY)
    assert cause is not None
    assert cause.servers == set(SERVERS[:2])


def test_three_ends_after_a_few_events_bar_a_request() -> None:
    scene = Scene()
    for server in range(3):
        assert not scene.board.is_blocked(GUILTY)
        scene.end(server, GUILTY, word=Suspicion.BEGUN)
    assert scene.board.is_blocked(GUILTY)


def test_lost_connection_to_a_server_that_goes_on_says_nothing() -> None:
    scene = Scene()
    for server in range(4):
        scene.board.record_lost_connection(SERVERS[server], V1, LostRequest(GUILTY, Suspicion.UNHEARD))
    assert not scene.board.is_blocked(GUILTY)
    assert scene.board.confirm_absent(SERVERS) == []
    assert sorted(scene.board.confirm_absent(SERVERS[2:])) == SERVERS[:2]
    assert scene.board.is_blocked(GUILTY)


def test_connection_that_was_lost_long_before_its_server_ended_says_nothing() -> None:
    scene = Scene()
    for server in range(2):
        scene.board.record_lost_connection(SERVERS[server], V1, LostRequest(GUILTY, Suspicion.UNHEARD))
    scene.now += 20.0
    scene.board.record_lost_connection(SERVERS[2], V1, LostRequest(OTHER, Suspicion.UNHEARD))
    assert scene.board.confirm_absent([]) == [SERVERS[2]]
    assert not scene.board.is_blocked(GUILTY)


def test_one_end_seen_by_two_nodes_is_one_end() -> None:
    scene, other = Scene(), Scene()
    scene.end(0, GUILTY)
    other.end(0, GUILTY, OTHER)
    assert scene.board.join(other.board.list_crashes())
    assert not scene.board.join(other.board.list_crashes())
    assert not scene.board.is_blocked(GUILTY)


def test_word_of_another_node_confirms_an_end_that_was_only_supposed() -> None:
    scene, other = Scene(), Scene()
    scene.board.record_lost_connection(SERVERS[0], V1, LostRequest(GUILTY, Suspicion.UNHEARD))
    scene.end(1, GUILTY)
    other.end(0, OTHER)
    scene.board.join(other.board.list_crashes())
    assert scene.board.is_blocked(GUILTY)


def test_request_that_ends_well_anywhere_is_cleared_everywhere() -> None:
    scene, other = Scene(), Scene()
    scene.end(0, GUILTY, OTHER)
    other.board.join(scene.board.list_crashes())
    assert other.board.record_completion(OTHER, V1)
    scene.end(1, GUILTY, OTHER)
    scene.board.join(other.board.list_crashes())
    assert scene.board.is_blocked(GUILTY)
    assert not scene.board.is_blocked(OTHER)


def test_request_that_ended_well_before_the_word_of_an_end_came_is_cleared() -> None:
    scene, other = Scene(), Scene()
    other.end(0, OTHER)
    scene.now += 1.0
    assert not scene.board.record_completion(OTHER, V1)
    scene.board.join(other.board.list_crashes())
    scene.end(1, OTHER)
    assert not scene.board.is_blocked(OTHER)


def test_popular_request_is_no_suspect_where_it_has_run_well() -> None:
    """Copies of a request that had completed before were on both of two servers that crashed within 0.2 s.

    None of the copies had produced an event, so they looked like the cause.
    """
    scene, other = Scene(), Scene()
    scene.board.record_completion(OTHER, V1)
    for server in range(2):
        scene.end(server, GUILTY, OTHER)
        other.end(server, OTHER)
    assert not scene.board.is_blocked(OTHER)
    assert other.board.is_blocked(OTHER)
    scene.board.join(other.board.list_crashes())
    other.board.join(scene.board.list_crashes())
    assert not other.board.is_blocked(OTHER)
    assert other.board.is_blocked(GUILTY)


def test_what_ran_well_on_a_software_may_end_servers_of_the_next() -> None:
    scene = Scene(software={V1, V2})
    scene.board.record_completion(GUILTY, V1)
    scene.end(0, GUILTY, software=V2)
    scene.end(1, GUILTY, software=V2)
    assert scene.board.is_blocked(GUILTY)


def test_request_in_doubt_is_tried_again_and_one_that_is_sure_is_not() -> None:
    scene = Scene()
    scene.end(0, GUILTY, OTHER)
    scene.end(1, GUILTY, OTHER)
    scene.now += DOUBT_TIME_S - 1
    assert scene.board.is_blocked(GUILTY)
    scene.now += 2
    assert not scene.board.is_blocked(GUILTY)
    scene.board.record_completion(OTHER, V1)
    scene.end(2, GUILTY, OTHER)
    assert scene.board.is_blocked(GUILTY)
    assert not scene.board.is_blocked(OTHER)
    scene.now += 2 * DOUBT_TIME_S
    assert scene.board.is_blocked(GUILTY)


def test_new_software_is_tried_once() -> None:
    scene = Scene()
    scene.end(0, GUILTY)
    scene.end(1, GUILTY)
    scene.software = {V1, V2}
    assert scene.board.is_blocked(GUILTY)
    scene.software = {V2}
    assert not scene.board.is_blocked(GUILTY)
    scene.end(2, GUILTY, software=V2)
    assert scene.board.is_blocked(GUILTY)


def test_ends_are_forgotten_and_bounded() -> None:
    scene = Scene()
    for number in range(2 * MAX_CRASHES):
        server = ServerId(f"i-{number}")
        for content in range(2 * MAX_SUSPECTS):
            scene.board.record_lost_connection(
                server, V1, LostRequest(Fingerprint(Content(content)), Suspicion.UNHEARD)
            )
        scene.board.confirm(server)
    ends = scene.board.list_crashes()
    assert len(ends) == MAX_CRASHES
    assert all(len(end.suspects) == MAX_SUSPECTS for end in ends.values())
    scene.now += MAX_CRASH_AGE_S + 1
    assert scene.board.list_crashes() == {}
    assert not scene.board.is_blocked(Fingerprint(Content(0)))


def test_request_without_an_event_is_kept_before_those_with_some() -> None:
    scene = Scene()
    for content in range(10, 10 + MAX_SUSPECTS):
        scene.board.record_lost_connection(SERVERS[0], V1, LostRequest(Fingerprint(Content(content)), Suspicion.BEGUN))
    scene.end(0, GUILTY)
    scene.end(1, GUILTY)
    assert scene.board.is_blocked(GUILTY)
    assert len(scene.board.list_suspects(SERVERS[0])) == MAX_SUSPECTS


def test_checksum_of_the_same_ends_is_the_same_in_all_builds() -> None:
    """Nodes of different builds must compute the same checksum of the same crashes."""
    scene = Scene()
    scene.end(0, GUILTY, OTHER)
    scene.end(1, GUILTY, word=Suspicion.BEGUN)
    assert scene.board.record_completion(OTHER, V1)
    found = {suspicion for crash in scene.board.list_crashes().values() for suspicion in crash.suspects.values()}
    assert found == set(Suspicion)
    assert scene.board.check == 1221201453


Words = dict[ServerId, dict[Identity, Suspicion]]
WORDS = st.dictionaries(
    st.sampled_from(SERVERS),
    st.dictionaries(st.sampled_from([Content(one) for one in range(5)]), st.sampled_from(list(Suspicion)), min_size=1),
)


@pytest.mark.parametrize("turns", [1, 2], ids=["once", "twice"])
@given(st.lists(WORDS, max_size=6), st.randoms(use_true_random=False))
def test_words_join_in_any_order_to_the_same(turns: int, words: list[Words], random: Random) -> None:
    shuffled = list(words) * turns
    random.shuffle(shuffled)
    scenes = Scene(), Scene()
    for scene, order in zip(scenes, (words, shuffled), strict=True):
        for word in order:
            scene.board.join({server: ServerCrash(90.0, V1, dict(suspects)) for server, suspects in word.items()})
    assert scenes[0].board.check == scenes[1].board.check
    for content in range(5):
        assert scenes[0].board.is_blocked(Fingerprint(Content(content))) == scenes[1].board.is_blocked(
            Fingerprint(Content(content))
        )
