"""`python -m stagewalk.history.check FILE...`: judge histories that observers wrote.

Prints checks and violations of each promise; exits with 1 on a violation, 2 on a bad file.

Owns the exit codes; relies on `checker` for the verdict.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec

from stagewalk.history.checker import check_history
from stagewalk.history.checker_oracle import FoldOracle
from stagewalk.history.observations import read_history

EXIT_CLEAN = 0
EXIT_VIOLATION = 1
EXIT_BAD_FILE = 2
EXPLANATIONS_PER_PROMISE = 5


def main(arguments: Sequence[str]) -> int:
    """Judge the histories in the named files together and return the exit code."""
    if not arguments:
        print(__doc__)
        return EXIT_BAD_FILE
    try:
        history = read_history([Path(name) for name in arguments])
    except (OSError, msgspec.MsgspecError) as error:
        print(f"cannot read the history: {error}", file=sys.stderr)
        return EXIT_BAD_FILE
    verdict = check_history(history, FoldOracle())
    print(f"{len(history)} observations")
    print(verdict.table())
    for promise in verdict.unchecked:
        print(f"never checked: {promise}")
    for explanation in verdict.explanations(EXPLANATIONS_PER_PROMISE):
        print(explanation)
    return EXIT_VIOLATION if verdict.violation_count else EXIT_CLEAN


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
