"""`jacinthcroft bundle`: makes the values that the platform publishes."""

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
    """Makes a bundle of all service files below a directory."""

    directory: Path
    out: Path
    pattern: str

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares where to read and write."""
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
        """Reads the command from parsed arguments."""
        return cls(arguments.directory, arguments.out, arguments.pattern)

    def run(self) -> ExitCode:
        """Writes the bundle, or prints every fault and writes nothing."""
        bundle = self._make()
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

    def _make(self) -> Bundle | Faults:
        paths = _find_files(self.directory, self.pattern)
        if not paths:
            # An empty bundle would take every service out of the fleet.
            remedy = 'name a directory that holds service files'
            found = Fault(str(self.directory), '', 'no service file', remedy)
            return Faults((found,))
        files = read_service_files(paths)
        return files if isinstance(files, Faults) else make_bundle(files)


def _find_files(directory: Path, pattern: str) -> list[Path]:
    """Returns the files that match, without those in hidden directories."""
    return sorted(
        path
        for path in directory.rglob(pattern)
        if path.is_file() and not _is_hidden(path.relative_to(directory))
    )


def _is_hidden(path: Path) -> bool:
    return any(part.startswith('.') for part in path.parts)


def _write_bundle(bundle: Bundle, out: Path) -> None:
    """Writes the parts, then the index that makes them count.

    Parts of earlier bundles stay: the index that is published until now
    names them.
    """
    out.mkdir(parents=True, exist_ok=True)
    for part in bundle.index.parts:
        _replace_file(out / part.value_name, bundle.texts[part.digest])
    _replace_file(out / f'{INDEX_NAME}.json', bundle.index.to_json())


def _replace_file(path: Path, text: str) -> None:
    """Writes a file so that a reader sees its old or its new text whole."""
    unfinished = path.with_name(f'{path.name}.unfinished')
    unfinished.write_text(text, encoding='utf-8', newline='')
    os.replace(unfinished, path)
