"""Parameters of the request state machine, with units and where the figures come from."""

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
        What each submitted request adds to its tenant's retry budget: retries add at most a fifth
        to a tenant's load in the long run, so that they can't multiply an overload.
    budget_capacity
        Most that a tenant's budget holds; it starts full.
    first_backoff_seconds, maximum_backoff_seconds
        Range of the exponential backoff, whose jitter is uniform from 0.
    no_engine_interval_seconds
        How often a request without an eligible engine looks again.
    no_engine_limit_seconds
        How long it does so before it fails: twice the time for which an engine's report vouches.
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
        Measured delays needed, and kept.
    minimum_delay_seconds
        Least delay of a hedge, so that quick engines are not hedged for noise.
    """

    percentile: float = 0.95
    minimum_samples: int = 20
    window: int = 256
    minimum_delay_seconds: float = 0.05


@dataclass(frozen=True, slots=True)
class MemoryConfig:
    """Bounds of what a node keeps in memory for requests.

    Attributes
    ----------
    maximum_requests
        Requests in progress.
    maximum_claiming
        Of these, requests whose claim is being decided or whose answer is being fetched.
    maximum_held_characters
        Prompts and answers of all requests in progress; above it new requests are refused.
    maximum_answer_characters
        One answer; an engine that sends more is broken.
    maximum_reordered_chunks
        Chunks of one attempt kept while one before them is missing.
    maximum_retained, maximum_retained_characters
        Outcomes of ended requests, of each kind: repeatable and not.
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
        Longest silence of a repeatable attempt that has begun to answer; it is then given up.
    first_token_seconds
        A repeatable attempt without any token is given up after this time.
    """

    fetch_timeout_seconds: float = 5.0
    stall_seconds: float = 5.0
    first_token_seconds: float = 30.0
    retry: RetryConfig = field(default_factory=RetryConfig)
    hedge: HedgeConfig = field(default_factory=HedgeConfig)
    memory: MemoryConfig = field(default_factory=MemoryConfig)
