"""Tests that service files are checked together and published as a bundle."""

import pathlib

import pytest
from jacinthcroft_config import (
    BundleIndex,
    Configuration,
    Faults,
    ServiceFile,
    TeamIndex,
    hash_key,
    load_bundle,
    load_bundle_index,
    load_configuration,
    make_bundle,
)

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
FILES = tuple(
    ServiceFile(path.name, path.read_text())
    for path in sorted((EXAMPLES / 'huberbauer').glob('*.toml'))
)
TRANSFERS = FILES[-1]


def list_faults(*files: ServiceFile) -> list[str]:
    """Returns the faults of loading files together, as text."""
    outcome = load_configuration(1, files)
    assert isinstance(outcome, Faults)
    return [str(fault) for fault in outcome.faults]


def copy_file(file: ServiceFile, *replacements: tuple[str, str]) -> ServiceFile:
    """Returns a copy of a file with parts of its text replaced."""
    text = file.text
    for old, new in replacements:
        text = text.replace(old, new)
    return ServiceFile('copy.toml', text)


def test_files_without_conflicts_are_joined_into_one_configuration() -> None:
    configuration = load_configuration(12, FILES)

    assert isinstance(configuration, Configuration)
    assert configuration.revision == 12
    assert len(configuration.services) == len(FILES)


def test_a_service_in_two_files_is_a_fault() -> None:
    assert list_faults(TRANSFERS, copy_file(TRANSFERS)) == [
        "copy.toml:service: 'transfers' is also the service of "
        'transfers.toml, write another name',
    ]


def test_two_services_may_not_match_the_same_method_and_path() -> None:
    copy = copy_file(
        TRANSFERS,
        ('"transfers"', '"copies"'),
        ('{transfer}', '{copy}'),
        ('127.0.0.1', '127.0.0.2'),
    )
    faults = list_faults(TRANSFERS, copy)

    assert len(faults) == 3
    assert faults[2].startswith(
        'copy.toml:routes[state].path: GET /transfers/{copy} is also in '
        'transfers.toml',
    )


def test_two_services_may_not_share_a_target_or_a_key() -> None:
    copy = copy_file(
        TRANSFERS,
        ('"transfers"', '"copies"'),
        ('/transfers', '/copies'),
        ('"app"', '"apps"'),
        ('teams.app', 'teams.apps'),
    )
    faults = list_faults(TRANSFERS, copy)

    assert len([fault for fault in faults if 'targets.' in fault]) == 6
    assert len([fault for fault in faults if 'teams.apps.keys' in fault]) == 1


def test_faults_of_all_files_are_reported_at_once() -> None:
    broken = ServiceFile('broken.toml', 'service = 3')
    faults = list_faults(broken, TRANSFERS, copy_file(TRANSFERS))

    assert {fault.partition(':')[0] for fault in faults} == {
        'broken.toml',
        'copy.toml',
    }


def test_a_key_finds_its_team_in_every_service() -> None:
    configuration = load_configuration(1, FILES)
    assert isinstance(configuration, Configuration)
    index = TeamIndex.from_configuration(configuration)
    audit = hash_key('example-key-audit')

    assert [found.service for found in index.find(audit)] == ['history']
    assert index.team_for('transfers', audit) is None
    team = index.team_for('history', audit)
    assert team is not None
    assert team.name == 'audit'
    assert not index.find(hash_key('withdrawn'))


def test_a_published_bundle_loads_as_the_checked_configuration() -> None:
    bundle = make_bundle(FILES)
    assert not isinstance(bundle, Faults)
    index = load_bundle_index(bundle.index.to_json(), 'bundle')
    assert isinstance(index, BundleIndex)

    assert load_bundle(3, index, bundle.texts) == load_configuration(3, FILES)


def test_a_bundle_with_a_part_missing_or_changed_is_not_loaded() -> None:
    bundle = make_bundle(FILES)
    assert not isinstance(bundle, Faults)
    digest = bundle.index.parts[0].digest

    for part in ({}, {digest: TRANSFERS.text}):
        texts = {**bundle.texts, **part}
        texts = {key: texts[key] for key in texts if part or key != digest}
        assert isinstance(load_bundle(1, bundle.index, texts), Faults)


@pytest.mark.parametrize('digest', ['"../../x"', '3', f'"{"A" * 64}"'])
def test_an_index_with_anything_but_digests_is_a_fault(digest: str) -> None:
    text = f'{{"services": {{"transfers": {digest}}}}}'

    assert isinstance(load_bundle_index(text, 'bundle'), Faults)


def test_an_index_that_swaps_services_is_not_loaded() -> None:
    bundle = make_bundle(FILES)
    assert not isinstance(bundle, Faults)
    text = bundle.index.to_json()
    swapped = text.replace('history', 'x').replace('transfers', 'history')
    index = load_bundle_index(swapped.replace('"x"', '"transfers"'), 'bundle')
    assert isinstance(index, BundleIndex)

    assert 'is of the service' in str(load_bundle(1, index, bundle.texts))
