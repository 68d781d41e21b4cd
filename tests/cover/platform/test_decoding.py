"""The decoding of published values; unreadable ones are left out."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from jacinthcroft_platform.documents import (
    PlatformTranslator,
    decode_configuration,
    decode_target,
)

ENTRY = {
    'Address': '10.0.0.9:8080',
    'Info': {'Service': 'svc', 'Version': 'v1', 'Zone': 'a', 'Slots': 2},
    'Status': {'State': 'ready', 'Seq': 4, 'ColdRemainingMs': 1500},
    'born': 1700000000000,
}


def _configuration(**route_changes: Any) -> dict[str, Any]:
    return {
        'Version': '0000000c',
        'Resources': [
            {
                'EntryKind': 'Routes',
                'Metadata': {'Name': 'r'},
                'Spec': {
                    'Hostname': 'H.example',
                    'Prefix': '/p/',
                    'RouteType': 'unsafe',
                    'TimeoutMs': 1500,
                    'TrafficSplit': [
                        {'Service': 'a', 'Weight': 90},
                        {'Service': 'b', 'Weight': 10},
                    ],
                    'MaxAttempts': 2,
                    **route_changes,
                },
            },
            {
                'EntryKind': 'Tenants',
                'Metadata': {'Name': 'team'},
                'Spec': {'ApiKeys': ['secret'], 'RatePerS': 3, 'Burst': 4},
            },
        ],
    }


def test_a_target_is_decoded_into_its_fields() -> None:
    entry = decode_target('i-1', json.dumps(ENTRY).encode())
    assert (entry.host, entry.port, entry.slots) == ('10.0.0.9', 8080, 2)
    assert entry.cold_seconds_left == pytest.approx(1.5)
    assert entry.is_ready


def test_a_configuration_is_decoded_and_its_keys_are_hashed() -> None:
    content = json.dumps(_configuration()).encode()
    configuration = decode_configuration(content)
    route = configuration.find_route('h.example', '/p/x')
    assert configuration.version == 12
    assert route is not None
    assert route.parts == (('a', 90.0), ('b', 10.0))
    assert not route.is_repeatable
    assert 'secret' not in repr(configuration)


@pytest.mark.parametrize('kind', ['unsafe', 'upload', 'keyed', 'call', ''])
def test_only_safe_requests_may_run_twice(kind: str) -> None:
    content = json.dumps(_configuration(RouteType=kind)).encode()
    route = decode_configuration(content).find_route('h.example', '/p/')
    assert route is not None
    assert not route.is_repeatable


@pytest.mark.parametrize('kind', ['safe', 'download'])
def test_reads_may_run_twice(kind: str) -> None:
    content = json.dumps(_configuration(RouteType=kind)).encode()
    route = decode_configuration(content).find_route('h.example', '/p/')
    assert route is not None
    assert route.is_repeatable
    assert route.has_large_responses == (kind == 'download')


def test_the_route_with_the_longest_matching_prefix_is_found() -> None:
    document = _configuration()
    longer = json.loads(json.dumps(document['Resources'][0]))
    longer['Metadata']['Name'] = 'longer'
    longer['Spec']['Prefix'] = '/p/q/'
    document['Resources'].append(longer)
    configuration = decode_configuration(json.dumps(document).encode())
    found = configuration.find_route('h.example', '/p/q/r')
    assert found is not None
    assert found.name == 'longer'


@pytest.mark.parametrize(
    ('section', 'key', 'invalid_value'),
    [
        ('Info', 'Slots', 'two'),
        ('Info', 'Slots', 0),
        ('Info', 'Service', 7),
        ('Status', 'State', 'sleeping'),
        ('Status', 'ColdRemainingMs', None),
    ],
)
def test_a_target_with_an_invalid_entry_is_left_out(
    section: str,
    key: str,
    invalid_value: Any,
) -> None:
    entry = json.loads(json.dumps(ENTRY))
    entry[section][key] = invalid_value
    translator = PlatformTranslator()
    documents = translator.translate(
        {
            'servers/bad': (1, json.dumps(entry).encode()),
            'servers/good': (2, json.dumps(ENTRY).encode()),
        },
    )
    assert set(documents.targets) == {'good'}


@given(st.binary(max_size=60))
def test_arbitrary_bytes_do_not_stop_the_decoding(content: bytes) -> None:
    documents = PlatformTranslator().translate(
        {'servers/x': (1, content), 'op/config': (2, content)},
    )
    assert documents.configuration is None


def test_an_unreadable_configuration_leaves_the_last_readable_one() -> None:
    translator = PlatformTranslator()
    readable = json.dumps(_configuration()).encode()
    translator.translate({'op/config': (1, readable)})
    documents = translator.translate({'op/config': (2, readable[:-9])})
    assert documents.configuration is not None
    assert documents.configuration.version == 12


def test_published_evacuations_name_the_evacuated_zones() -> None:
    documents = PlatformTranslator().translate(
        {'op/evacuate/muc-a': (5, b'{}')},
    )
    assert documents.evacuated_zones == {'muc-a'}
