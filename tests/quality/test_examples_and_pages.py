"""The examples pass their own check, and generated pages are current."""

import pathlib
import re

import pytest
from jacinthcroft_cli.main import main
from jacinthcroft_config import (
    Configuration,
    ServiceFile,
    describe_service_file,
    describe_settings,
    hash_key,
    load_configuration,
)
from jacinthcroft_daemon.internal.pipeline.refusals import (
    Outcome,
    Reason,
    Refusal,
)

ROOT = pathlib.Path(__file__).parents[2]
FIRMS = ('huberbauer', 'etiquette-atlas')


def load_example(firm: str) -> Configuration:
    """Returns a firm's configuration."""
    paths = sorted((ROOT / 'examples' / firm).glob('*.toml'))
    files = tuple(ServiceFile(path.name, path.read_text()) for path in paths)
    configuration = load_configuration(1, files)
    assert isinstance(configuration, Configuration), configuration
    return configuration


@pytest.mark.parametrize('firm', FIRMS)
def test_an_example_passes_check(firm: str) -> None:
    paths = (ROOT / 'examples' / firm).glob('*.toml')

    assert main(['check', *map(str, paths)]) == 0


@pytest.mark.parametrize('firm', FIRMS)
def test_an_example_has_eight_teams_with_the_documented_keys(
    firm: str,
) -> None:
    teams = {
        (team.name, team.key_hashes)
        for service in load_example(firm).services
        for team in service.teams
    }

    assert len(teams) == 8
    for name, key_hashes in teams:
        assert key_hashes == (hash_key(f'example-key-{name}'),)


@pytest.mark.parametrize(
    ('firm', 'routes'),
    [
        ('huberbauer', {'transfers/book', 'transfers/cancel'}),
        ('etiquette-atlas', {'print-jobs/submit', 'print-jobs/reprint'}),
    ],
)
def test_transfers_and_print_jobs_are_never_repeated(
    firm: str,
    routes: set[str],
) -> None:
    found = {
        f'{service.name}/{route.name}'
        for service in load_example(firm).services
        for route in service.routes
        if not route.is_idempotent
    }

    assert found == routes


def test_the_page_of_settings_is_current() -> None:
    page = (ROOT / 'docs' / 'SETTINGS.md').read_text()

    assert page == f'{describe_settings()}\n'


def test_the_page_of_service_files_is_current() -> None:
    page = (ROOT / 'docs' / 'SERVICE-FILE.md').read_text()

    assert page == f'{describe_service_file()}\n'


def test_the_readme_lists_every_reason_with_its_status() -> None:
    readme = (ROOT / 'README.md').read_text()
    rows = re.findall(r'^\| `([a-z-]+)` \| (\d+) \|', readme, re.MULTILINE)

    assert sorted(rows) == sorted(
        (
            reason.value,
            str(Refusal(reason, Outcome.UNKNOWN, detail='').status),
        )
        for reason in Reason
    )


def test_the_first_service_file_of_the_readme_passes_check(
    tmp_path: pathlib.Path,
) -> None:
    readme = (ROOT / 'README.md').read_text()
    first = re.search('```toml\n(.*?)```', readme, re.DOTALL)
    assert first is not None
    path = tmp_path / 'first.toml'
    path.write_text(first.group(1))

    assert main(['check', str(path)]) == 0


@pytest.mark.parametrize(
    'page',
    sorted([*ROOT.glob('*.md'), *ROOT.glob('docs/*.md')]),
    ids=lambda page: page.name,
)
def test_links_between_pages_lead_somewhere(page: pathlib.Path) -> None:
    links = re.findall(r'\]\(([^)#:]+)(?:#[^)]*)?\)', page.read_text())

    assert [link for link in links if not (page.parent / link).exists()] == []
