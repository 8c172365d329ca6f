"""Describes why a request was queued or rejected by the admission control of its service. Pure.

Reads the fields of the events `request_queued`, `request_requeued`, `request_rejected` and
`request_ended`.
"""

from __future__ import annotations

from collections.abc import Iterable

from stagewalk.gateway.explain.log_line import LogLine

_REASONS = {
    "too_late": "it would have started too late",
    "queue_full": "the queue was full",
    "no_worker": "the service had no worker",
    "stopping": "the node stopped",
}


def describe_waits(lines: Iterable[LogLine]) -> list[str]:
    """Return a sentence for each wait and rejection among a request's lines."""
    sentences: list[str] = []
    for line in lines:
        if line.event == "request_queued":
            sentences.append(f"queued at {line.get('service')}: {_queue_info(line)}")
        elif line.event == "request_requeued":
            waited = line.get("waited_seconds")
            sentences.append(f"refused by full workers after {waited} s and queued again")
        elif line.event == "request_rejected":
            reason = _REASONS.get(line.get("reason"), line.get("reason"))
            sentences.append(
                f"refused after {line.get('waited_seconds')} s, since {reason}: {_queue_info(line)}"
            )
        elif line.event == "request_ended" and line.get("waited_seconds"):
            sentences.append(f"waited {line.get('waited_seconds')} s for its place")
    return sentences


def _queue_info(line: LogLine) -> str:
    """Describe the queue and the limits that the decision was based on."""
    tenant = line.get("tenant") or "no tenant"
    return (
        f"{line.get('ahead')} before it, {line.get('ahead_of_tenant')} waiting of {tenant}, "
        f"urgency {line.get('urgency')}; expected {line.get('expected_seconds')} s "
        f"where {line.get('allowed_seconds')} s were left; "
        f"{line.get('in_flight')} under way of at most {line.get('limit')}"
    )
