"""Fetches answers of at-most-once requests from the nodes that own their claims.

A caller may submit a request again through another node, after the first one lost or refused it.
The claim names the process that may run the request; that process is queried if it is alive. It
sends the answer if it ran the request, and hands the claim over if it has not run it and will not.
Owns the queries that wait for a request in progress here; relies on membership for addresses.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from stagewalk.common.errors import StagewalkError
from stagewalk.common.identities import (
    Address,
    NodeName,
    RequestId,
    RequestKey,
    TenantName,
    WeightVersion,
)
from stagewalk.node.core.completions import CompletionResult, VersionSpan
from stagewalk.node.core.events import PeerMessageReceived
from stagewalk.node.core.instructions import SendPeerMessage, Transport
from stagewalk.node.membership.core import MembershipCore
from stagewalk.node.node_identity import NodeIdentity
from stagewalk.node.outputs import NodeOutput
from stagewalk.node.requests.core import RequestCore
from stagewalk.node.requests.notifications import FetchAnswer
from stagewalk.node.wire.answers_pb2 import AnswerMessage, AnswerQuery, AnswerReply, AnswerSpan
from stagewalk.node.wire.envelope_pb2 import Envelope

MAXIMUM_WAITING_QUERIES = 1024
"""Queries that may wait for requests in progress; further ones are answered at once."""


@dataclass(frozen=True, slots=True)
class _Query:
    """Another node's query, waiting for the outcome of a request in progress here."""

    address: Address
    asker_incarnation: int
    nonce: str
    query_id: int


class AnswerExchange:
    """Queries the owners of claims, and answers other nodes' queries."""

    def __init__(
        self, identity: NodeIdentity, requests: RequestCore, membership: MembershipCore
    ) -> None:
        self._identity = identity
        self._requests = requests
        self._membership = membership
        self._waiting: defaultdict[RequestKey, list[_Query]] = defaultdict(list)
        self._waiting_count = 0

    def fetch(self, fetch: FetchAnswer, now: float) -> list[NodeOutput]:
        """Send a query to the owner of a claim, if that process is still a member."""
        for member in self._membership.members():
            if member.name != fetch.owner or member.incarnation != fetch.owner_incarnation:
                continue
            message = _new_message(fetch.key)
            message.query.CopyFrom(
                AnswerQuery(
                    owner_incarnation=fetch.owner_incarnation,
                    nonce=fetch.nonce,
                    query_id=fetch.query_id,
                )
            )
            return [self._send(member.address, message)]
        detail = f"node {fetch.owner} that ran it is gone"
        return list(self._requests.answer_fetched(fetch.key, None, detail, now))

    def handle_message(self, event: PeerMessageReceived, now: float) -> list[NodeOutput]:
        """Handle another node's query or reply."""
        message = event.envelope.answers
        key = RequestKey(TenantName(message.tenant), RequestId(message.request_id))
        if message.WhichOneof("body") == "query":
            return self._answer_query(key, message.query, event, now)
        return self._handle_reply(key, message.reply, now)

    def request_ended(
        self, key: RequestKey, outcome: CompletionResult | StagewalkError, now: float
    ) -> list[NodeOutput]:
        """Answer the nodes that wait for the outcome of a request of this node."""
        queries = self._waiting.pop(key, [])
        self._waiting_count -= len(queries)
        return [self._reply(key, query, outcome, now) for query in queries]

    def _handle_reply(self, key: RequestKey, reply: AnswerReply, now: float) -> list[NodeOutput]:
        if not reply.claim_handed_over:
            result = _decode_result(reply) if reply.known else None
            return list(self._requests.answer_fetched(key, result, reply.detail, now))
        if reply.asker_incarnation != self._identity.incarnation:
            return []
        return list(self._requests.claim_handed_over(key, reply.query_id, now))

    def _answer_query(
        self, key: RequestKey, query: AnswerQuery, event: PeerMessageReceived, now: float
    ) -> list[NodeOutput]:
        envelope = event.envelope
        address = self._address_of(NodeName(envelope.sender), event.source)
        waiting = _Query(address, envelope.sender_incarnation, query.nonce, query.query_id)
        if query.owner_incarnation != self._identity.incarnation:
            return [self._reply(key, waiting, None, now)]
        outcome = self._requests.retained(key, now)
        if self._requests.in_progress(key) and self._waiting_count < MAXIMUM_WAITING_QUERIES:
            self._waiting[key].append(waiting)
            self._waiting_count += 1
            return []
        if outcome is None:
            return [self._reply(key, waiting, None, now)]
        return [self._reply(key, waiting, outcome.result or outcome.error, now)]

    def _address_of(self, sender: NodeName, source: Address) -> Address:
        for member in self._membership.members():
            if member.name == sender:
                return member.address
        return source

    def _reply(
        self,
        key: RequestKey,
        query: _Query,
        outcome: CompletionResult | StagewalkError | None,
        now: float,
    ) -> SendPeerMessage:
        message = _new_message(key)
        if isinstance(outcome, CompletionResult):
            message.reply.CopyFrom(_encode_result(outcome))
        elif self._requests.hand_over_claim(key, query.nonce, now):
            message.reply.claim_handed_over = True
        else:
            detail = "the owner does not know it any more" if outcome is None else str(outcome)
            message.reply.CopyFrom(AnswerReply(known=False, detail=detail))
        message.reply.query_id = query.query_id
        message.reply.asker_incarnation = query.asker_incarnation
        return self._send(query.address, message)

    def _send(self, address: Address, message: AnswerMessage) -> SendPeerMessage:
        envelope = Envelope(
            sender=self._identity.name,
            sender_incarnation=self._identity.incarnation,
            answers=message,
        )
        return SendPeerMessage(address, envelope, Transport.STREAM)


def _new_message(key: RequestKey) -> AnswerMessage:
    return AnswerMessage(tenant=key.tenant, request_id=key.request_id)


def _encode_result(result: CompletionResult) -> AnswerReply:
    return AnswerReply(
        known=True,
        text=result.text,
        token_count=result.token_count,
        finish_reason=result.finish_reason,
        spans=[AnswerSpan(version=s.version, token_count=s.token_count) for s in result.spans],
    )


def _decode_result(reply: AnswerReply) -> CompletionResult:
    return CompletionResult(
        text=reply.text,
        token_count=reply.token_count,
        spans=tuple(VersionSpan(WeightVersion(s.version), s.token_count) for s in reply.spans),
        finish_reason=reply.finish_reason,
    )
