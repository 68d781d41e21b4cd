"""Runs a daemon with its connections led through fault links.

`python -m jacinthcroft_testkit.linked_vm LINKS MODULE --settings FILE`, with
LINKS a JSON file of `{"host:port": "host:port"}` and MODULE the daemon's
module; every later argument is the daemon's own.
"""

import asyncio
import pathlib
import runpy
import sys

from jacinthcroft_testkit.internal.routing import LinkedPolicy, LinkFile


def main() -> None:
    """Runs the daemon's module as `python -m jacinthcroft_daemon` would."""
    links = LinkFile(pathlib.Path(sys.argv.pop(1)))
    asyncio.set_event_loop_policy(LinkedPolicy(links))
    module = sys.argv.pop(1)
    runpy.run_module(module, run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main()
