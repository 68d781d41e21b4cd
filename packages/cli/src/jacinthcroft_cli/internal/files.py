"""Reads service files from disk."""

from collections.abc import Iterable
from pathlib import Path

from jacinthcroft_config import Fault, Faults, ServiceFile


def read_service_files(
    paths: Iterable[Path],
) -> tuple[ServiceFile, ...] | Faults:
    """Returns the texts of all files, or a fault for each unreadable one."""
    outcomes = [_read_service_file(path) for path in paths]
    faults = [fault for fault in outcomes if isinstance(fault, Fault)]
    if faults:
        return Faults(tuple(faults))
    return tuple(file for file in outcomes if isinstance(file, ServiceFile))


def _read_service_file(path: Path) -> ServiceFile | Fault:
    try:
        return ServiceFile(str(path), path.read_text('utf-8'))
    except OSError as error:
        problem = f'cannot be read: {error.strerror}'
    except UnicodeDecodeError:
        problem = 'not UTF-8'
    return Fault(str(path), '', problem, 'name a readable service file')
