"""`python -m stagewalk`: the command `stagewalk`."""

import sys

from stagewalk.cli.main import run

sys.exit(run())
