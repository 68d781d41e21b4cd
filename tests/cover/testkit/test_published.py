"""The platform's stand-in shows each reader the revision it is pinned to."""

import json

import pytest
from jacinthcroft_testkit.internal.published import (
    VALUE_LIMIT_BYTES,
    Published,
    Publisher,
)


def test_revisions_rise_over_all_values() -> None:
    publisher = Publisher()
    first = publisher.publish_vms('[]')
    assert publisher.publish_services({'recipes': 'text'}) > first


def test_the_bundle_names_parts_by_their_digest() -> None:
    publisher = Publisher()
    publisher.publish_services({'recipes': 'text'})
    bundle = publisher.read('bundle', 'vm1')
    assert bundle is not None
    digest = json.loads(bundle.value)['services']['recipes']
    part = publisher.read(f'part-{digest}', 'vm1')
    assert part is not None
    assert part.value == 'text'


def test_a_pinned_reader_stays_behind_until_it_is_freed() -> None:
    publisher = Publisher()
    old = publisher.publish_vms('old')
    publisher.pin('vm1', old)
    new = publisher.publish_vms('new')
    assert publisher.read('vms', 'vm1') == Published(old, 'old')
    assert publisher.read('vms', 'vm2') == Published(new, 'new')
    publisher.pin('vm1', None)
    assert publisher.read('vms', 'vm1') == Published(new, 'new')


def test_a_value_of_a_megabyte_is_not_published() -> None:
    with pytest.raises(ValueError, match='limit'):
        Publisher().publish_vms('x' * VALUE_LIMIT_BYTES)
