"""`python -m stagewalk`: the command `stagewalk`."""

from stagewalk.cli.main import run

run()
