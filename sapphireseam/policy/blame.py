"""Decides which traits of requests crash upstreams, from a log of crashes.

A crash counts as a strike against each trait of the requests that broke in it. Crashes
within `EVENT_SECONDS` are one event: they may have one cause outside, such as the loss
of a failure domain. So a trait gets one strike for all of them, and only if at least
half of them had it. A crash in a trial of the trait is a strike of its own: it came
after the earlier ones were known.

A trait with enough strikes is a cause if no other request in its newest crash could
explain that crash as well. If other parts of the same request could, only requests that
have them too are refused, and the others are tried. A crash that a cause explains
counts against nobody else.
"""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping
from itertools import chain
from typing import NamedTuple

from sapphireseam.core import trait
from sapphireseam.core.verdict import Verdict

# A crash counts for this long. A part that crashes upstreams less than once in half of
# this time is never a cause.
LOG_SECONDS = 240.0
# Maximum number of crashes in the log, and of the traits in all of them.
LOG_LIMIT = 64
TRAIT_LIMIT = 5000
# Crashes that are reported within this time may have one cause outside.
EVENT_SECONDS = 0.5
# Strikes from which a trait can be a cause, and those from which it is a suspect.
FINGERPRINT_STRIKES = 2
PART_STRIKES = 3
SUSPECT_FINGERPRINT_STRIKES = 1
SUSPECT_PART_STRIKES = 2
# This many strikes against a part that was proven sound within `PROOF_SECONDS` count as
# one.
PROVEN_STRIKES = 2
PROOF_SECONDS = 60.0
# How long a cause is refused at first. Each time it is found again, this doubles.
FIRST_REFUSAL_SECONDS = 60.0
MAX_REFUSAL_SECONDS = 3600.0
# A cause found within this time is judged anew when more reports come in.
REVIEW_SECONDS = 1.0
# A cause is remembered for this long after its refusal.
MEMORY_SECONDS = 3600.0
CAUSE_LIMIT = 1000


class Crash(NamedTuple):
    """The end of a run of an upstream, with the traits of each request that broke.

    `at` is in seconds of the wall clock. `tried` holds the traits that were on trial.
    """

    run: str
    at: float
    requests: tuple[tuple[str, ...], ...]
    tried: tuple[str, ...] = ()


class Cause(NamedTuple):
    """When a cause was found, until when it is refused, and how often it was found.

    `company` holds the other traits that a request must have to be refused.
    """

    at: float
    until: float
    times: int = 1
    company: tuple[str, ...] = ()


class Trial(NamedTuple):
    """Who runs the only request with a suspect, and since when."""

    holder: str
    at: float


def remove_traits(crash: Crash, cleared: Collection[str]) -> Crash:
    """Return the crash without some traits of its requests."""
    requests = (tuple(t for t in each if t not in cleared) for each in crash.requests)
    return crash._replace(
        requests=tuple(dict.fromkeys(requests)),
        tried=tuple(t for t in crash.tried if t not in cleared),
    )


def limit_log(crashes: Iterable[Crash], now: float) -> list[Crash]:
    """Return the crashes that still count, the oldest first, within the limits."""
    recent = [crash for crash in crashes if now - crash.at < LOG_SECONDS]
    recent.sort(key=lambda crash: (crash.at, crash.run))
    recent = recent[-LOG_LIMIT:]
    size = sum(len(each) for crash in recent for each in crash.requests)
    while size > TRAIT_LIMIT:
        size -= sum(len(each) for each in recent.pop(0).requests)
    return recent


def judge(
    crashes: Collection[Crash],
    causes: Mapping[str, Cause],
    proven: Collection[str],
    now: float,
) -> tuple[dict[str, Cause], list[Verdict]]:
    """Return the causes and the verdicts after these crashes, the oldest first.

    `proven` holds the parts that were proven sound a short time ago.
    """
    settled, fresh = _split_causes(causes, now)
    found: dict[str, Cause] = {}
    while True:
        tally = _count_strikes(crashes, settled, found, proven)
        pair = _find_cause(tally, found)
        if pair is None:
            break
        name, company = pair
        former = settled.get(name)
        if former is not None:
            company = tuple(each for each in company if each in former.company)
        # What is in its company may be the cause instead, so it is treated alike.
        for member in (name, *company):
            others = sorted({name, *company} - {member})
            cause = fresh.get(member) or _make_cause(settled.get(member), now)
            found[member] = cause._replace(company=tuple(others))
    known = _limit_causes(settled | found)
    verdicts = [
        Verdict(name, True, cause.until, cause.company) for name, cause in known.items()
    ]
    verdicts += [
        Verdict(name, False, tally.newest[name].at + LOG_SECONDS)
        for name in sorted(_list_suspects(tally.strikes))
        if name not in known
    ]
    return known, verdicts


def _list_suspects(strikes: Mapping[str, int]) -> list[str]:
    """Return the traits with enough strikes to be suspects."""
    fewest = min(SUSPECT_FINGERPRINT_STRIKES, SUSPECT_PART_STRIKES)
    return [
        name
        for name, count in strikes.items()
        if count >= fewest and count >= _count_to_suspect(name)
    ]


class _Tally(NamedTuple):
    """The strikes against each trait, its crashes, and the newest of them."""

    strikes: Counter[str]
    crashes: Counter[str]
    newest: dict[str, Crash]


def _split_causes(
    causes: Mapping[str, Cause], now: float
) -> tuple[dict[str, Cause], dict[str, Cause]]:
    """Return the causes that stand, and those that are judged anew."""
    settled, fresh = {}, {}
    for name, cause in causes.items():
        if cause.times == 1 and now - cause.at <= REVIEW_SECONDS:
            fresh[name] = cause
        elif now - cause.until < MEMORY_SECONDS:
            settled[name] = cause
    return settled, fresh


def _make_cause(former: Cause | None, now: float) -> Cause:
    times = former.times + 1 if former else 1
    refusal = FIRST_REFUSAL_SECONDS * 2.0 ** min(times - 1, 10)
    return Cause(now, now + min(refusal, MAX_REFUSAL_SECONDS), times)


def _limit_causes(causes: dict[str, Cause]) -> dict[str, Cause]:
    if len(causes) <= CAUSE_LIMIT:
        return causes
    kept = sorted(causes, key=lambda name: (causes[name].until, name))[-CAUSE_LIMIT:]
    return {name: causes[name] for name in kept}


def _count_to_find(name: str) -> int:
    return PART_STRIKES if trait.is_part(name) else FINGERPRINT_STRIKES


def _count_to_suspect(name: str) -> int:
    if trait.is_part(name):
        return SUSPECT_PART_STRIKES
    return SUSPECT_FINGERPRINT_STRIKES


def _count_strikes(
    crashes: Iterable[Crash],
    settled: Mapping[str, Cause],
    found: Mapping[str, Cause],
    proven: Collection[str],
) -> _Tally:
    """Count the strikes of the crashes that no cause explains.

    A settled cause needs one strike since it was found to be found again.
    """
    causes = {**settled, **found}
    tally = _Tally(Counter(), Counter(), {})
    events = list(_group_events(_list_unexplained(crashes, causes)))
    for event in events:
        had = Counter(name for _, names in event for name in names)
        tried = Counter(
            name for crash, names in event for name in names & set(crash.tried)
        )
        for name, count in had.items():
            if 2 * count >= len(event):
                tally.strikes[name] += tried[name] + (count > tried[name])
        tally.crashes.update(had)
        for crash, names in event:
            tally.newest.update(dict.fromkeys(names, crash))
    parts = {n for n, count in tally.strikes.items() if count > 1 and trait.is_part(n)}
    sources = _list_sources(events, parts)
    for name in parts:
        tally.strikes[name] = min(tally.strikes[name], len(sources[name]))
    for name in proven:
        if name in tally.strikes:
            tally.strikes[name] //= PROVEN_STRIKES
    for name in tally.strikes.keys() & settled.keys():
        tally.strikes[name] += _count_to_find(name) - 1
    return tally


def _list_sources(
    events: Iterable[list[tuple[Crash, set[str]]]], parts: Collection[str]
) -> dict[str, set[tuple[str, ...]]]:
    """Return the different requests that brought each of the parts."""
    sources: dict[str, set[tuple[str, ...]]] = defaultdict(set)
    for crash, names in chain.from_iterable(events):
        counted = names.intersection(parts)
        for each in crash.requests if counted else ():
            found = counted.intersection(each)
            identity = _identify(each) if found else ()
            for name in found:
                sources[name].add(identity)
    return sources


def _identify(request: tuple[str, ...]) -> tuple[str, ...]:
    """Return the fingerprint of a request, or all of its traits without one."""
    return tuple(name for name in request if not trait.is_part(name)) or request


def _list_unexplained(
    crashes: Iterable[Crash], causes: Mapping[str, Cause]
) -> Iterator[tuple[Crash, set[str]]]:
    """Yield each crash that isn't fully explained, with the traits it counts against.

    A crash under a repeated request still counts against the parts of that request.
    """
    for crash in crashes:
        names = {name for each in crash.requests for name in each}
        culprits = _find_culprits(crash, causes)
        if any(trait.is_part(name) for name in culprits):
            continue
        if culprits:
            names = set(filter(trait.is_part, chain.from_iterable(culprits.values())))
        yield crash, {n for n in names if n not in causes or causes[n].at < crash.at}


def _find_culprits(
    crash: Crash, causes: Mapping[str, Cause]
) -> dict[str, tuple[str, ...]]:
    """Return the causes that explain a crash, with the requests that had them."""
    return {
        name: each
        for each in crash.requests
        for name in each
        if name in causes
        and crash.at <= causes[name].until
        and set(each).issuperset(causes[name].company)
    }


def _group_events(
    crashes: Iterable[tuple[Crash, set[str]]],
) -> Iterator[list[tuple[Crash, set[str]]]]:
    """Yield the crashes that follow the first of them within `EVENT_SECONDS`."""
    event: list[tuple[Crash, set[str]]] = []
    for crash, names in crashes:
        if event and crash.at - event[0][0].at >= EVENT_SECONDS:
            yield event
            event = []
        event.append((crash, names))
    if event:
        yield event


def _find_cause(
    tally: _Tally, found: Collection[str]
) -> tuple[str, tuple[str, ...]] | None:
    """Return the trait with the most strikes that must be a cause, with its company."""
    strikes = tally.strikes
    candidates = [
        name
        for name, count in strikes.items()
        if name not in found and count >= _count_to_find(name)
    ]
    # Of equals, a fingerprint is more specific than a part.
    candidates.sort(key=lambda name: (-strikes[name], trait.is_part(name), name))
    for name in candidates:
        requests = tally.newest[name].requests
        with_name = [set(each) for each in requests if name in each]
        mates = set().union(*with_name)
        rivals = {other for each in requests for other in each} - mates
        # A repeated request has few strikes, which others get in one event as well.
        counts = strikes if trait.is_part(name) else tally.crashes
        if all(counts[rival] < strikes[name] for rival in rivals):
            common = set.intersection(*with_name)
            return name, _list_company(name, common, strikes)
    return None


def _list_company(
    name: str, common: Collection[str], strikes: Mapping[str, int]
) -> tuple[str, ...]:
    """Return the parts of all requests with the trait that may be the cause instead."""
    if not trait.is_part(name):
        return ()
    return tuple(
        sorted(
            mate
            for mate in common
            if mate != name
            and trait.is_part(mate)
            and strikes[mate] >= SUSPECT_PART_STRIKES
        )
    )
