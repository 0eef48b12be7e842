"""The view of the platform never gets older, keeps entries that lapse in an outage, and closes outdated keys."""

from __future__ import annotations

from core.traffic.samples import make_server
from vaneturn_core.identifiers import Revision, ServiceName
from vaneturn_core.traffic.configuration import ClientLimits, TrafficConfiguration
from vaneturn_core.traffic.lapses import LAPSE_HOLD_S
from vaneturn_core.traffic.view import KEYS_MARGIN_S, MUTED_TIME_S, RETURN_TIME_S, PlatformView, StoreContact

LLM = ServiceName("llm")


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def make_configuration(version: int) -> TrafficConfiguration:
    return TrafficConfiguration(Revision(version), [], {}, ClientLimits(), {}, needs_keys=True)


def test_older_configuration_is_not_put_in_force() -> None:
    view = PlatformView(5.0, Clock())
    told: list[object] = []
    view.configuration_listeners.append(lambda: told.append(view.configuration))
    assert view.take_configuration(make_configuration(7))
    assert not view.take_configuration(make_configuration(5))
    assert told == [view.configuration]
    assert view.configuration is not None
    assert view.configuration.version == 7


def test_keys_are_valid_until_shortly_before_their_bound() -> None:
    clock = Clock()
    view = PlatformView(5.0, clock)
    assert not view.are_keys_valid()
    view.confirm(clock.now)
    clock.now += 5.0 - MUTED_TIME_S - KEYS_MARGIN_S - 0.01
    assert view.are_keys_valid()
    clock.now += 0.02
    assert not view.are_keys_valid()


def test_keys_that_a_read_has_verified_are_valid_for_longer() -> None:
    """A watch may lack the changes of its last second, a read lacks none."""
    clock = Clock()
    view = PlatformView(5.0, clock)
    view.confirm(clock.now, clock.now)
    clock.now += 5.0 - KEYS_MARGIN_S - 0.01
    assert view.are_keys_valid()
    clock.now += 0.02
    assert not view.are_keys_valid()


def test_read_of_another_node_verifies_the_keys_of_this_one() -> None:
    clock = Clock()
    view = PlatformView(5.0, clock)
    view.advance_confirmation(StoreContact(clock.now, verified_at=clock.now - 0.5))
    view.merge_contact(StoreContact())
    assert view.keys_age == 0.5


def test_entry_that_goes_while_the_store_is_sound_is_gone_at_once() -> None:
    clock = Clock()
    view = PlatformView(5.0, clock)
    server = make_server(1, "l4")
    view.put_server(server)
    view.confirm(clock.now)
    assert view.remove_server(server.id)
    assert not view.list_servers(LLM)


def test_entry_that_lapsed_in_an_outage_stays_until_it_should_be_back() -> None:
    clock = Clock()
    view = PlatformView(5.0, clock)
    server = make_server(1, "l4")
    view.put_server(server)
    view.confirm(clock.now)
    view.note_failure()
    clock.now += 3.0
    assert not view.remove_server(server.id)
    view.confirm(clock.now)
    clock.now += LAPSE_HOLD_S - 0.01
    assert view.list_servers(LLM) == [server]
    clock.now += 0.02
    assert not view.list_servers(LLM)  # even before expire_lapsed is called
    assert view.expire_lapsed() == [server.id]


def test_entry_that_goes_well_after_the_return_did_not_lapse() -> None:
    """Otherwise a server that leaves 3.4 s after the end of an outage gets work for 2.2 s more."""
    clock = Clock()
    view = PlatformView(5.0, clock)
    server = make_server(1, "l4")
    view.put_server(server)
    view.note_failure()
    clock.now += 1.0
    view.confirm(clock.now)
    clock.now += RETURN_TIME_S + 0.1
    assert view.remove_server(server.id)


def test_entry_that_came_back_is_kept() -> None:
    clock = Clock()
    view = PlatformView(5.0, clock)
    server = make_server(1, "l4")
    view.put_server(server)
    view.note_failure()
    view.remove_server(server.id)
    view.put_server(server)
    clock.now += 10.0
    assert not view.expire_lapsed()
    assert view.list_servers(LLM) == [server]


def test_word_of_another_node_replaces_what_is_known_of_the_stores_troubles() -> None:
    """The store refused this node but served the other one all the time, so a removed entry has not lapsed."""
    clock = Clock()
    view = PlatformView(5.0, clock)
    server = make_server(1, "l4")
    view.put_server(server)
    view.note_failure()
    view.merge_contact(StoreContact(confirmed_at=clock.now))
    assert view.are_keys_valid()
    assert view.remove_server(server.id)


def test_trouble_of_another_node_alone_is_no_outage_of_the_store() -> None:
    """When only a relay is cut off from the store, a server that leaves must not get work for 2.2 s more."""
    clock = Clock()
    view = PlatformView(5.0, clock)
    server = make_server(1, "l4")
    view.put_server(server)
    view.confirm(clock.now)
    view.merge_contact(StoreContact(clock.now, failed_at=clock.now, returned_at=clock.now))
    assert view.remove_server(server.id)


def test_outage_that_another_node_saw_as_well_excuses_a_missing_entry() -> None:
    clock = Clock()
    view = PlatformView(5.0, clock)
    server = make_server(1, "l4")
    view.put_server(server)
    view.note_failure()
    clock.now += 2.0
    view.merge_contact(StoreContact(clock.now, failed_at=clock.now - 0.5, returned_at=clock.now))
    assert not view.remove_server(server.id)


def test_trouble_is_over_here_when_a_node_that_has_reached_the_store_again_tells() -> None:
    """This node's last failed call ends a second after a relay has reached the store again; it then asks the relay.

    Without a call of its own, it took the outage to continue: entries that were removed 1.8 and 3.2 s later counted as
    lapsed on five nodes of eight and as removed on the others, and a server got work 2.06 s after it had left, where
    2.0 s are allowed.
    """
    clock = Clock()
    view = PlatformView(5.0, clock)
    server = make_server(1, "l4")
    view.put_server(server)
    view.note_failure()
    relay = StoreContact(clock.now, failed_at=clock.now - 1.1, returned_at=clock.now - 1.0)
    view.merge_contact(relay)
    clock.now += 1.8
    view.merge_contact(relay)
    assert view.remove_server(server.id)


def test_doubt_counts_from_the_return_that_another_node_has_seen() -> None:
    """A node that heard of an outage's end 1.3 s later than its relay used a server that had left for 2.2 s."""
    clock = Clock()
    view = PlatformView(5.0, clock, leaving_time=2.0)
    lapsed, listed = make_server(1, None), make_server(2, None)
    for server in (lapsed, listed):
        view.put_server(server)
    view.note_failure()
    clock.now += 1.3
    view.merge_contact(StoreContact(clock.now, failed_at=clock.now - 1.4, returned_at=clock.now - 0.9))
    assert not view.remove_server(lapsed.id)
    servers = view.list_servers(LLM)
    assert view.lapsed.prefer_listed(servers) == [lapsed, listed]
    clock.now += 0.2
    assert view.lapsed.prefer_listed(servers) == [listed]


def test_doubt_counts_from_the_last_return_of_several() -> None:
    """A node that reached the store itself, and then heard of a later failure, gave lapsed servers no trust at all."""
    clock = Clock()
    view = PlatformView(5.0, clock, leaving_time=2.0)
    lapsed, listed = make_server(1, None), make_server(2, None)
    for server in (lapsed, listed):
        view.put_server(server)
    view.note_failure()
    view.confirm(clock.now)
    clock.now += 1.5
    view.merge_contact(StoreContact(clock.now, failed_at=clock.now - 0.2, returned_at=clock.now - 0.1))
    assert not view.remove_server(lapsed.id)
    assert view.lapsed.prefer_listed([lapsed, listed]) == [lapsed, listed]


def test_word_of_another_node_never_makes_the_view_older() -> None:
    clock = Clock()
    view = PlatformView(5.0, clock)
    view.confirm(clock.now)
    view.merge_contact(StoreContact(confirmed_at=clock.now - 1.0))
    assert view.age == 0.0
