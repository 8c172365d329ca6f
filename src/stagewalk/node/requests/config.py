"""Parameters of the request state machine, with units."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RetryConfig:
    """Retries of attempts.

    Attributes
    ----------
    maximum_attempts
        Attempts of one request, hedges included.
    budget_per_request
        Credit that each submitted request adds to its tenant's retry budget. It limits the
        long-run retry rate so that retries can't amplify an overload.
    budget_capacity
        Maximum of a tenant's budget; it starts full.
    first_backoff_seconds, maximum_backoff_seconds
        Range of the exponential backoff, whose jitter is uniform from 0.
    no_engine_interval_seconds
        Interval at which a request without an eligible engine searches again.
    no_engine_limit_seconds
        How long it searches before it fails: twice the validity of an engine's report.
    """

    maximum_attempts: int = 8
    budget_per_request: float = 0.2
    budget_capacity: float = 50.0
    first_backoff_seconds: float = 0.05
    maximum_backoff_seconds: float = 1.0
    no_engine_interval_seconds: float = 0.2
    no_engine_limit_seconds: float = 5.0


@dataclass(frozen=True, slots=True)
class HedgeConfig:
    """Second attempts of repeatable requests that are not streamed.

    Attributes
    ----------
    percentile
        A request is hedged when its first token takes longer than this percentile.
    minimum_samples, window
        Samples required before hedging, and samples kept.
    minimum_delay_seconds
        Minimum delay of a hedge, so that jitter of fast engines doesn't trigger hedges.
    """

    percentile: float = 0.95
    minimum_samples: int = 20
    window: int = 256
    minimum_delay_seconds: float = 0.05


@dataclass(frozen=True, slots=True)
class MemoryConfig:
    """Limits on what a node keeps in memory for requests.

    Attributes
    ----------
    maximum_requests
        Requests in progress.
    maximum_claiming
        Of these, requests whose claim is being decided or whose answer is being fetched.
    maximum_held_characters
        Prompts and answers of all requests in progress; above it new requests are refused.
    maximum_answer_characters
        One answer; an attempt that exceeds it is cancelled.
    maximum_reordered_chunks
        Chunks of one attempt buffered while an earlier chunk is missing.
    maximum_retained, maximum_retained_characters
        Outcomes of ended requests; applies separately to repeatable and other requests.
    """

    maximum_requests: int = 4096
    maximum_claiming: int = 512
    maximum_held_characters: int = 16 << 20
    maximum_answer_characters: int = 1 << 20
    maximum_reordered_chunks: int = 64
    maximum_retained: int = 2048
    maximum_retained_characters: int = 2 << 20


@dataclass(frozen=True, slots=True)
class RequestConfig:
    """Parameters of the request core.

    Attributes
    ----------
    fetch_timeout_seconds
        How long the owner of a lost claim has to send its answer.
    stall_seconds
        A repeatable attempt is cancelled if no chunk follows the last one for this time.
    first_token_seconds
        A repeatable attempt is cancelled if it produces no token in this time.
    """

    fetch_timeout_seconds: float = 5.0
    stall_seconds: float = 5.0
    first_token_seconds: float = 30.0
    retry: RetryConfig = field(default_factory=RetryConfig)
    hedge: HedgeConfig = field(default_factory=HedgeConfig)
    memory: MemoryConfig = field(default_factory=MemoryConfig)
