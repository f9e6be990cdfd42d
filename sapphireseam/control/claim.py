"""Apply claims of idempotency keys and deaths blamed on requests."""

from sapphireseam.control import record
from sapphireseam.core import command, error, outcome

# Settled claims kept for resends, and how long, in seconds.
CLAIM_LIMIT = 100_000
CLAIM_SECONDS = 24 * 3600.0
# Fingerprints of requests that were running when an upstream died.
DEATH_LIMIT = 10_000
# Deaths after which a request is refused at every entry.
QUARANTINE_DEATHS = 2


def take(
    state: record.State, item: command.ClaimRequest
) -> outcome.Claimed | outcome.Refused:
    """Claim a key for a holder, or tell who has it or what the answer was."""
    name = f"{item.customer}/{item.idempotency_key}"
    found = state.claims.get(name)
    if found is not None and item.at - found.at > CLAIM_SECONDS:
        found = None
        del state.claims[name]
    if found is None:
        state.claims[name] = record.Claim(item.fingerprint, item.holder, item.at)
        _trim(state.claims, CLAIM_LIMIT)
        return outcome.Claimed(True, False, item.holder)
    if found.fingerprint != item.fingerprint:
        message = "the Idempotency-Key was used for another request"
        return outcome.Refused(error.Kind.CONFLICT, message)
    # A holder that asks twice lost the first answer, not the claim.
    fresh = found.holder == item.holder and not found.settled
    return outcome.Claimed(fresh, found.settled, found.holder, found.status, found.blob)


def settle(
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


def count_death(state: record.State, item: command.ReportDeath) -> outcome.Done:
    """Count an upstream's death against every request that it was running."""
    for fingerprint in item.fingerprints:
        state.deaths[fingerprint] = state.deaths.get(fingerprint, 0) + 1
    _trim(state.deaths, DEATH_LIMIT)
    return outcome.Done(item.upstream, len(item.fingerprints))


def _trim(entries: dict, limit: int) -> None:
    while len(entries) > limit:
        del entries[next(iter(entries))]
