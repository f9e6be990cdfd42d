"""Apply claims of idempotency keys and deaths blamed on requests.

A request that was running when an upstream died is a suspect and runs alone
from then on. A suspect whose upstream dies while it runs alone is quarantined, for
good: every entry refuses it. So it takes two deaths to quarantine, the second
with nothing beside it, and what merely ran beside a crash, however often, is
served and cleared.
"""

from sapphireseam.control import record
from sapphireseam.core import command, error, outcome

# How long a claim answers resends, in seconds.
CLAIM_SECONDS = 24 * 3600.0
# Claims kept; at the limit settled ones of this age in seconds make room.
CLAIM_LIMIT = 100_000
CLAIM_LEAST_SECONDS = 3600.0
# Fingerprints of requests that were running when an upstream died.
DEATH_LIMIT = 10_000
# What a fingerprint counts as.
SUSPECT = 1
QUARANTINED = 2


def acquire(
    state: record.State, item: command.ClaimRequest
) -> outcome.Claimed | outcome.Refused:
    """Claim a key for a holder, or tell who has it or what the answer was."""
    name = f"{item.customer}/{item.idempotency_key}"
    found = state.claims.get(name)
    if found is not None and item.at - found.at > CLAIM_SECONDS:
        found = None
        del state.claims[name]
    if found is None:
        return _make_claim(state, name, item)
    if found.fingerprint != item.fingerprint:
        message = "the Idempotency-Key was used for another request"
        return outcome.Refused(error.Kind.CONFLICT, message)
    # A holder that asks twice lost the first answer, not the claim.
    fresh = found.holder == item.holder and not found.settled
    return outcome.Claimed(
        fresh, found.settled, found.holder, found.status, found.blob, found.at
    )


def _make_claim(
    state: record.State, name: str, item: command.ClaimRequest
) -> outcome.Claimed | outcome.Refused:
    if len(state.claims) >= CLAIM_LIMIT and not _make_room(state, item.at):
        message = "too many idempotency keys are remembered to take another"
        return outcome.Refused(error.Kind.OVERLOADED, message)
    state.claims[name] = record.Claim(item.fingerprint, item.holder, item.at)
    return outcome.Claimed(True, False, item.holder, at=item.at)


def _make_room(state: record.State, now: float) -> bool:
    """Forget the oldest settled claim if it is old enough.

    A claim that isn't settled is never forgotten early: its request may have
    run, and a resend must not run it again.
    """
    for name, found in state.claims.items():
        if now - found.at < CLAIM_LEAST_SECONDS:
            return False
        if found.settled:
            del state.claims[name]
            return True
    return False


def complete(
    state: record.State, item: command.SettleClaim
) -> outcome.Done | outcome.Refused:
    """Store a claimed request's answer, or free the claim if it never ran."""
    name = f"{item.customer}/{item.idempotency_key}"
    found = state.claims.get(name)
    if found is None or found.holder != item.holder or found.settled:
        return outcome.Refused(error.Kind.CONFLICT, "the claim isn't the holder's")
    if item.not_run:
        del state.claims[name]
    else:
        state.claims[name] = found._replace(
            settled=True, status=item.status, blob=item.blob
        )
    return outcome.Done()


def record_crash(state: record.State, item: command.ReportDeath) -> outcome.Done:
    """Suspect what an upstream ran when it died; quarantine a lone suspect.

    An upstream on the list of leaving ones is taken down by the platform, and
    its end says nothing about what it ran.
    """
    if item.upstream in state.leaving:
        return outcome.Done(item.upstream)
    for fingerprint in item.fingerprints:
        before = state.deaths.get(fingerprint, 0)
        proven = item.alone and before == SUSPECT
        state.deaths[fingerprint] = QUARANTINED if proven else max(before, SUSPECT)
    while len(state.deaths) > DEATH_LIMIT:
        del state.deaths[_find_least(state.deaths)]
    return outcome.Done(item.upstream, len(item.fingerprints))


def _find_least(deaths: dict[str, int]) -> str:
    """Return the oldest suspect, or the oldest quarantined one if there is none."""
    return min(deaths, key=deaths.__getitem__)


def clear_suspects(state: record.State, item: command.ClearSuspects) -> outcome.Done:
    """Forget suspects; quarantined ones stay so."""
    cleared = [f for f in item.fingerprints if state.deaths.get(f) == SUSPECT]
    for fingerprint in cleared:
        del state.deaths[fingerprint]
    return outcome.Done("", len(cleared))


def list_fingerprints(state: record.State, verdict: int) -> tuple[str, ...]:
    """Return the fingerprints with one verdict."""
    return tuple(name for name, found in state.deaths.items() if found == verdict)
