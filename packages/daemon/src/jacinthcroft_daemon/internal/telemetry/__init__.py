"""Logs, metrics and traces of one VM."""

from absl import logging


def log_event(level: str, event: str, **fields: object) -> None:
    """Writes one event as a line of key=value pairs."""
    pairs = ' '.join(f'{name}={field!r}' for name, field in fields.items())
    logging.log(logging.converter.absl_to_standard(0), f'event={event} {pairs}')


__all__ = ('log_event',)
