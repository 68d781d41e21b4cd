"""`jacinthcroft bundle`: writes the values that the platform publishes."""

import argparse
import os
import sys
from pathlib import Path

from attrs import frozen
from jacinthcroft_config import (
    INDEX_NAME,
    Bundle,
    Fault,
    Faults,
    make_bundle,
)

from jacinthcroft_cli.internal.files import read_service_files
from jacinthcroft_cli.internal.registry import Command, ExitCode, register


@register('bundle', 'Collect and check service files; write what to publish.')
@frozen
class BundleCommand(Command):
    """Writes a bundle of all service files in a directory tree."""

    directory: Path
    out: Path
    pattern: str

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the directories and the pattern of file names."""
        parser.add_argument(
            'directory',
            metavar='DIR',
            type=Path,
            help='service files are looked for here and below',
        )
        parser.add_argument(
            '--out',
            metavar='DIR',
            type=Path,
            required=True,
            help='where bundle.json and the parts are written; nothing '
            'there changes when a file has a fault',
        )
        parser.add_argument(
            '--pattern',
            default='*.toml',
            help='file names to collect (default: %(default)s)',
        )

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> 'BundleCommand':
        """Returns the command for parsed arguments."""
        return cls(arguments.directory, arguments.out, arguments.pattern)

    def run(self) -> ExitCode:
        """Writes the bundle, or prints every fault and writes nothing."""
        bundle = self._make_bundle()
        if isinstance(bundle, Faults):
            print(bundle)
            return ExitCode.BAD_INPUT
        try:
            _write_bundle(bundle, self.out)
        except OSError as error:
            print(f'{self.out}: cannot be written: {error}', file=sys.stderr)
            return ExitCode.BAD_INPUT
        print(f'{len(bundle.index.parts)} services written to {self.out}')
        return ExitCode.OK

    def _make_bundle(self) -> Bundle | Faults:
        paths = _find_files(self.directory, self.pattern)
        if not paths:
            # An empty bundle would remove every service from the fleet.
            remedy = 'name a directory that holds service files'
            fault = Fault(str(self.directory), '', 'no service file', remedy)
            return Faults((fault,))
        files = read_service_files(paths)
        return files if isinstance(files, Faults) else make_bundle(files)


def _find_files(directory: Path, pattern: str) -> list[Path]:
    """Returns the matching files; skips hidden files and directories."""
    return sorted(
        path
        for path in directory.rglob(pattern)
        if path.is_file() and not _is_hidden(path.relative_to(directory))
    )


def _is_hidden(path: Path) -> bool:
    return any(part.startswith('.') for part in path.parts)


def _write_bundle(bundle: Bundle, out: Path) -> None:
    """Writes the parts, then the index that refers to them.

    Parts of earlier bundles are kept, because the index that is currently
    published refers to them.
    """
    out.mkdir(parents=True, exist_ok=True)
    for part in bundle.index.parts:
        _replace_file(out / part.value_name, bundle.texts[part.digest])
    _replace_file(out / f'{INDEX_NAME}.json', bundle.index.to_json())


def _replace_file(path: Path, text: str) -> None:
    """Replaces a file atomically: readers get the old or the new text."""
    unfinished = path.with_name(f'{path.name}.unfinished')
    unfinished.write_text(text, encoding='utf-8', newline='')
    os.replace(unfinished, path)
