"""Applies claims of idempotency keys, and crash reports in logs of former programs.

Former programs reported the fingerprints of all requests that were running when an
upstream crashed. The reports still apply, so that all members have the same state, but
nobody is refused by them. `control.crash` applies the reports of this program.
"""

from sapphireseam.control import record
from sapphireseam.core import command, error, outcome

# A resend within this time of the claim gets the answer to the first request.
CLAIM_SECONDS = 24 * 3600.0
# Maximum number of claims. At the limit a new claim evicts a completed one that is at
# least MIN_CLAIM_SECONDS old.
CLAIM_LIMIT = 100_000
MIN_CLAIM_SECONDS = 3600.0
# Maximum number of fingerprints of requests that were running when an upstream crashed.
FINGERPRINT_LIMIT = 10_000
# The verdicts on a fingerprint.
SUSPECT = 1
QUARANTINED = 2


def acquire(
    state: record.State, item: command.ClaimRequest
) -> outcome.Claimed | outcome.Refused:
    """Claim a key for a holder, or return the present holder or the stored answer."""
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
    # A holder that claims again has lost the first reply but still holds the claim.
    fresh = found.holder == item.holder and not found.settled
    return outcome.Claimed(
        fresh, found.settled, found.holder, found.status, found.blob, found.at
    )


def _make_claim(
    state: record.State, name: str, item: command.ClaimRequest
) -> outcome.Claimed | outcome.Refused:
    if len(state.claims) >= CLAIM_LIMIT and not _evict_completed(state, item.at):
        message = "too many idempotency keys are remembered to take another"
        return outcome.Refused(error.Kind.OVERLOADED, message)
    state.claims[name] = record.Claim(item.fingerprint, item.holder, item.at)
    return outcome.Claimed(True, False, item.holder, at=item.at)


def _evict_completed(state: record.State, now: float) -> bool:
    """Delete the oldest completed claim if it is old enough; return whether it was.

    A claim that isn't completed is never deleted early: its request may have
    run, and a resend must not run it again.
    """
    for name, found in state.claims.items():
        if now - found.at < MIN_CLAIM_SECONDS:
            return False
        if found.settled:
            del state.claims[name]
            return True
    return False


def complete(
    state: record.State, item: command.SettleClaim
) -> outcome.Done | outcome.Refused:
    """Store the answer to a claimed request, or delete the claim if it didn't run."""
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
    """Mark the requests on a crashed upstream as suspects; quarantine a lone suspect.

    The platform stops an upstream that is on the list of leaving ones, so its end
    isn't blamed on its requests.
    """
    if item.upstream in state.leaving:
        return outcome.Done(item.upstream)
    for fingerprint in item.fingerprints:
        before = state.deaths.get(fingerprint, 0)
        is_cause = item.alone and before == SUSPECT
        state.deaths[fingerprint] = QUARANTINED if is_cause else max(before, SUSPECT)
    while len(state.deaths) > FINGERPRINT_LIMIT:
        del state.deaths[_find_evicted(state.deaths)]
    return outcome.Done(item.upstream, len(item.fingerprints))


def _find_evicted(deaths: dict[str, int]) -> str:
    """Return the oldest suspect, or the oldest quarantined one if there is none."""
    return min(deaths, key=deaths.__getitem__)


def clear_suspects(state: record.State, item: command.ClearSuspects) -> outcome.Done:
    """Delete suspects that were served; quarantined requests stay quarantined."""
    cleared = {f for f in item.fingerprints if state.deaths.get(f) == SUSPECT}
    for fingerprint in cleared:
        del state.deaths[fingerprint]
    return outcome.Done("", len(cleared))


def list_fingerprints(state: record.State, verdict: int) -> tuple[str, ...]:
    """Return the fingerprints that have this verdict."""
    return tuple(name for name, found in state.deaths.items() if found == verdict)
