"""Records crashes of upstreams and judges the requests that ran under them.

`policy.blame` decides which traits crash upstreams. Its verdicts are replicated, so
every entry and the next leader have them.
"""

from sapphireseam.control import record
from sapphireseam.core import command, error, outcome, trait, verdict
from sapphireseam.policy import blame

# Maximum number of traits of one request that are considered: its fingerprint and the
# last parts of its prompt, since many requests share the first ones.
TRAIT_LIMIT = 32
# Maximum number of parts that are remembered as proven sound.
PROOF_LIMIT = 10_000
# A trial is over after this long, if its holder ended without a word.
TRIAL_SECONDS = 5.0


def report(state: record.State, item: command.ReportCrash) -> outcome.Done:
    """Record the requests under which a run of an upstream ended.

    Reports of the same run by several processes count as one crash. The platform stops
    an upstream that is on the list of leaving ones, so its end is nobody's fault.
    """
    if item.upstream in state.leaving:
        return outcome.Done(item.upstream)
    requests = tuple(_limit_traits(each) for each in item.requests)
    named = {name for each in requests for name in each}
    tried = {name for name in named if state.trials.pop(name, None) is not None}
    found = state.crashes.get(item.run, blame.Crash(item.run, item.at, ()))
    state.crashes[item.run] = found._replace(
        requests=tuple(dict.fromkeys((*found.requests, *requests))),
        tried=tuple(sorted({*found.tried, *tried})),
    )
    _judge(state, item.at)
    return outcome.Done(item.upstream, len(item.requests))


def _limit_traits(traits: tuple[str, ...]) -> tuple[str, ...]:
    found = sorted(dict.fromkeys(traits), key=trait.is_part)
    return tuple(found[:1] + found[1:][1 - TRAIT_LIMIT :])


def clear(state: record.State, item: command.ClearTraits) -> outcome.Done:
    """Take back what was held against traits of a request that was proven sound."""
    cleared = set(item.traits)
    for run, crash in state.crashes.items():
        state.crashes[run] = blame.remove_traits(crash, cleared)
    for name, cause in list(state.causes.items()):
        company = tuple(each for each in cause.company if each not in cleared)
        state.causes[name] = cause._replace(company=company)
    for name in cleared:
        state.causes.pop(name, None)
        state.trials.pop(name, None)
    newest = max((crash.at for crash in state.crashes.values()), default=0.0)
    now = max(item.at, newest)
    for name in filter(trait.is_part, item.traits):
        state.proofs.pop(name, None)
        state.proofs[name] = now
    while len(state.proofs) > PROOF_LIMIT:
        del state.proofs[next(iter(state.proofs))]
    _judge(state, now)
    return outcome.Done("", len(cleared))


def _judge(state: record.State, now: float) -> None:
    """Replace the verdicts by those that the logged crashes justify."""
    kept = blame.limit_log(state.crashes.values(), now)
    state.crashes.clear()
    state.crashes.update((crash.run, crash) for crash in kept)
    for name, at in list(state.proofs.items()):
        if now - at >= blame.PROOF_SECONDS:
            del state.proofs[name]
    causes, verdicts = blame.judge(kept, state.causes, state.proofs.keys(), now)
    state.causes.clear()
    state.causes.update(causes)
    state.verdicts.clear()
    state.verdicts.update((each.trait, each) for each in verdicts)


def claim_trial(
    state: record.State, item: command.ClaimTrial
) -> outcome.Done | outcome.Refused:
    """Grant the trial of all suspects among the traits, or of none."""
    cause = verdict.find_cause(state.verdicts, item.traits, item.at)
    if cause is not None:
        return _refuse("requests like this one crash upstreams")
    suspects = verdict.list_suspects(state.verdicts, item.traits, item.at)
    for name, trial in list(state.trials.items()):
        if item.at - trial.at >= TRIAL_SECONDS:
            del state.trials[name]
    held = (state.trials[name] for name in suspects if name in state.trials)
    if any(trial.holder != item.holder for trial in held):
        return _refuse("another request like this one is being tried")
    for name in suspects:
        state.trials[name] = blame.Trial(item.holder, item.at)
    return outcome.Done("", len(suspects))


def _refuse(text: str) -> outcome.Refused:
    return outcome.Refused(error.Kind.REQUEST_QUARANTINED, text)


def release_trial(state: record.State, item: command.ReleaseTrial) -> outcome.Done:
    """End the trials of a holder."""
    held = [name for name, trial in state.trials.items() if trial.holder == item.holder]
    for name in held:
        del state.trials[name]
    return outcome.Done("", len(held))
