"""Applies committed commands to the replicated state, identically on every member.

The state machine is deterministic: it reads no clock, no settings and no files. A
command that can't take effect gets a `Refused` answer and changes nothing.
"""

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from sapphireseam.control import (
    bulk,
    ceiling,
    claim,
    crash,
    evacuation,
    job,
    keyring,
    member,
    order,
    publish,
    record,
    reserve,
)
from sapphireseam.core import command, outcome

logger = logging.getLogger(__name__)

# Maximum number of answers stored for resends; the oldest are dropped first.
ANSWER_LIMIT = 20_000

# A refusal of one of these isn't stored: a resend may be accepted once the job's file
# or route exists. A resent publish must get the first answer, even a refusal.
_RETRIED_IF_REFUSED = (command.SubmitJob,)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(record.State)

_HANDLERS: dict[type, Callable[[record.State, Any], Any]] = {
    command.SetOperator: keyring.set_operator,
    command.Publish: publish.apply,
    command.PublishNumbered: publish.apply_numbered,
    command.AcceptLot: bulk.accept,
    command.KeepParts: bulk.save_parts,
    command.ListResults: bulk.append_results,
    command.EndLot: bulk.end,
    command.ForgetLots: bulk.delete,
    command.RetireMember: member.retire,
    command.SetEvacuation: evacuation.apply,
    command.IssueKey: keyring.issue,
    command.WithdrawKey: keyring.withdraw,
    command.CreateFile: job.create_file,
    command.RemoveFile: job.remove_file,
    command.SubmitJob: job.submit,
    command.CancelJob: job.cancel,
    command.StartItems: job.start,
    command.CompleteItems: job.complete,
    command.ReturnItems: job.return_items,
    command.ExpireLease: job.expire,
    command.FinishCancel: job.finish_cancel,
    command.ClaimRequest: claim.acquire,
    command.SettleClaim: claim.complete,
    command.ReportDeath: claim.record_crash,
    command.ClearSuspects: claim.clear_suspects,
    command.ReportCrash: crash.report,
    command.ReportCeiling: ceiling.report,
    command.ClearTraits: crash.clear,
    command.ClaimTrial: crash.claim_trial,
    command.ReleaseTrial: crash.release_trial,
    command.BeginOrder: order.begin,
    command.FinishOrder: order.finish,
    command.RecordReserves: reserve.apply,
}


def mark_leaving(state: record.State, item: command.MarkLeaving) -> outcome.Done:
    """Add an upstream to the list of leaving ones, or remove it."""
    if item.leaving:
        state.leaving[item.upstream] = item.at
    else:
        state.leaving.pop(item.upstream, None)
    return outcome.Done(item.upstream)


_HANDLERS[command.MarkLeaving] = mark_leaving
# These handlers use the log index as the number of the lease or order that they create.
_INDEXED: dict[type, Callable[[record.State, Any, int], Any]] = {
    command.LeaseItems: job.lease,
    command.IssueOrder: order.issue,
}


class StateMachine:
    """Holds the replicated state and applies commands to it."""

    def __init__(self):
        self.state = record.create()
        self._listeners: list[Callable[[Any, Any], None]] = []

    def subscribe(self, listener: Callable[[Any, Any], None]) -> None:
        """Call the listener with each command that took effect and its answer.

        After a restore the listener is called with None for both.
        """
        self._listeners.append(listener)

    def _notify(self, item: Any, answer: Any) -> None:
        for listener in self._listeners:
            try:
                listener(item, answer)
            except Exception:
                # The command has taken effect, whoever can't follow it.
                logger.exception("a part could not follow a command")

    def apply(self, index: int, data: bytes) -> Any:
        """Apply one command and return its answer."""
        item = command.REGISTRY.decode(data)
        request = getattr(item, "request", "")
        if request and request in self.state.answers:
            return outcome.REGISTRY.decode(self.state.answers[request].answer)
        answer = self._dispatch(index, item)
        refused = isinstance(answer, outcome.Refused)
        if request and not (refused and isinstance(item, _RETRIED_IF_REFUSED)):
            self._store(request, answer)
        if not refused:
            self._notify(item, answer)
        return answer

    def _dispatch(self, index: int, item: Any) -> Any:
        indexed = _INDEXED.get(type(item))
        if indexed is not None:
            return indexed(self.state, item, index)
        return _HANDLERS[type(item)](self.state, item)

    def _store(self, request: str, answer: Any) -> None:
        answers = self.state.answers
        answers[request] = record.Stored(outcome.REGISTRY.encode(answer))
        while len(answers) > ANSWER_LIMIT:
            del answers[next(iter(answers))]

    def encode(self) -> bytes:
        """Return the whole state for a snapshot."""
        return _encoder.encode(self.state)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by the state in a snapshot."""
        self.state = record.complete(_decoder.decode(data))
        self._notify(None, None)
