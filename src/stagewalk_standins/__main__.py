"""Runs the stand-ins as `python -m stagewalk_standins`."""

from stagewalk_standins.cli import run

if __name__ == "__main__":
    run()
