"""Lets `python -m jacinthcroft_daemon` start the daemon."""

import sys

from jacinthcroft_daemon.main import main

sys.exit(main())
