"""Logs, metrics and traces of one VM."""

from absl import logging


def log_event(level: str, event: str, **fields: object) -> None:
    """Writes one event as a line of key=value pairs."""
    pairs = ' '.join(f'{name}={field!r}' for name, field in fields.items())
    logging.info('level=%s event=%s %s', level, event, pairs)


__all__ = ('log_event',)
