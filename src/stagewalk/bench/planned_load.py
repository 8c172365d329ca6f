"""The planned deployment size, and the limits of a node's control work.

DEVELOPERS.md states these figures as the size to design for; `capacity_model` multiplies them by
measured costs.
"""

from __future__ import annotations

NODES = 420
ENGINES = 600
REQUESTS_PER_SECOND = 3_200.0
TOKENS_PER_SECOND = 890_000.0
TRAINERS = 6
SAMPLES_PER_STEP = 4_096
STEP_SECONDS = 600.0
CONFIGURATION_CHANGES_PER_DAY = 1_600
CONFIGURATION_DEADLINE_SECONDS = 10.0
ZONES = 7

CPU_LIMIT_PERCENT = 3.5
MEMORY_LIMIT_MEGABYTES = 64.0
BYTES_LIMIT_PER_SECOND = 4_096.0

SECONDS_PER_DAY = 86_400.0

REQUESTS_PER_NODE = REQUESTS_PER_SECOND / NODES
SAMPLES_PER_SECOND = TRAINERS * SAMPLES_PER_STEP / STEP_SECONDS
CLAIMS_PER_SECOND = REQUESTS_PER_SECOND + SAMPLES_PER_SECOND
"""Upper bound: every request is non-repeatable, and each sample takes one claim."""
