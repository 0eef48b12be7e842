"""The configuration in force never reverts to an older revision, whatever documents are offered in any order."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from vaneturn_core.configuration.document import encode_configuration
from vaneturn_core.configuration.schema import Configuration
from vaneturn_core.identifiers import Revision
from vaneturn_node.configuration.inforce import ConfigurationInForce, OfferResult
from vaneturn_node.metrics import Metrics


def make_document(revision: int) -> bytes:
    return encode_configuration(Configuration(revision=Revision(revision)))


@given(st.lists(st.integers(1, 20) | st.binary(max_size=5), max_size=30))
def test_revision_only_grows(offered: list[int | bytes]) -> None:
    in_force = ConfigurationInForce(Metrics())
    seen: list[int] = []
    in_force.add_listener(lambda configuration: seen.append(configuration.revision))
    for offer in offered:
        in_force.offer(offer if isinstance(offer, bytes) else make_document(offer))
    assert seen == sorted(set(seen))
    assert in_force.revision == max((offer for offer in offered if isinstance(offer, int)), default=0)


def test_other_content_under_one_revision_is_not_taken() -> None:
    in_force = ConfigurationInForce(Metrics())
    in_force.offer(make_document(3))
    other = encode_configuration(Configuration(revision=Revision(3), draining=("vm",)))  # type: ignore[arg-type]
    assert in_force.offer(other) is OfferResult.DIFFERENT
    assert in_force.data == make_document(3)
