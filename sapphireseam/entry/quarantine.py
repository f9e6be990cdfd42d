"""Refuses requests that crash upstreams, and admits suspects one at a time.

The verdicts come with the mirror. A suspect is admitted once the control VMs granted
its trial. A request that is proven sound clears its traits.
"""

import logging
from collections.abc import Collection, Iterable

from sapphireseam.core import command, error, outcome, verdict
from sapphireseam.utils import broadcast
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timer import TimerService, wait_for

logger = logging.getLogger(__name__)

# A suspect that isn't granted a trial may be sent again after this long.
TRIAL_RETRY_SECONDS = 0.5
# How long a suspect waits for its trial, and the pause between two claims.
TRIAL_WAIT_SECONDS = 1.0
CLAIM_PAUSE_SECONDS = 0.25
# Timeout of a claim.
CLAIM_SECONDS = 1.0
# A new suspect that was proven sound within this time is cleared, once for each proof:
# a part that begins to crash upstreams must not be cleared again and again.
SOUND_SECONDS = 10.0
# Maximum number of traits remembered as sound.
SOUND_LIMIT = 10_000


class QuarantineGate:
    """Admit or refuse each attempt of a request by its traits."""

    def __init__(self, mirror: Mirror, client: ControlClient, timer: TimerService):
        self._mirror = mirror
        self._client = client
        self._timer = timer
        self._tasks = TaskGroup()
        self._changed = broadcast.Broadcast()
        # The verdicts at the last change.
        self._verdicts: dict[str, verdict.Verdict] = {}
        # When each trait was last proven sound, the oldest first.
        self._sound_times: dict[str, float] = {}
        # The traits of each request that holds a trial, by its holder.
        self._trials: dict[str, frozenset[str]] = {}
        self._uncleared: set[str] = set()
        self._is_clearing = False
        mirror.subscribe(self._update)

    async def start(self) -> None:
        """Do nothing; the gate works by calls and by changes of the mirror."""

    async def stop(self) -> None:
        """Stop sending proofs."""
        await self._tasks.cancel()

    async def admit(
        self, traits: Collection[str], holder: str, has_crashed: bool = False
    ) -> bool:
        """Return whether an attempt is a trial; raise `CapacityError` if refused.

        `holder` names the request, so that its later attempts keep its trial.
        `has_crashed` says that an upstream crashed under an earlier attempt. The
        control VMs are asked then, as the mirror may not have the verdict yet.
        """
        end = self._timer.read_clock() + TRIAL_WAIT_SECONDS
        while True:
            suspects = self._check(traits)
            if not suspects and not has_crashed:
                return False
            if not self._is_tried_here(suspects, holder):
                count = await self._claim(tuple(traits), bool(suspects), holder)
                if count is not None:
                    return count > 0
            if self._timer.read_clock() >= end:
                raise _make_refusal(TRIAL_RETRY_SECONDS)
            await self._wait_for_change()

    def _check(self, traits: Collection[str]) -> tuple[str, ...]:
        """Return the suspects among the traits, or raise if one is a cause."""
        now = self._timer.read_wall_clock()
        cause = verdict.find_cause(self._mirror.verdicts, traits, now)
        if cause is not None:
            raise _make_refusal(cause.until - now)
        return verdict.list_suspects(self._mirror.verdicts, traits, now)

    def _is_tried_here(self, suspects: Collection[str], holder: str) -> bool:
        """Return whether another request of this entry tries one of the suspects."""
        return any(
            other != holder and not traits.isdisjoint(suspects)
            for other, traits in self._trials.items()
        )

    async def _claim(
        self, traits: tuple[str, ...], is_suspect: bool, holder: str
    ) -> int | None:
        """Return the number of suspects that the holder tries, None if refused.

        Without an answer, a request that isn't known to be a suspect isn't held back.
        """
        now = self._timer.read_wall_clock()
        item = command.ClaimTrial("", traits, holder, now)
        try:
            answer: outcome.Done = await self._client.propose(item, CLAIM_SECONDS)
        except error.SeamError as failure:
            if failure.kind is error.Kind.REQUEST_QUARANTINED or is_suspect:
                return None
            logger.warning("trial not claimed", extra={"cause": failure.message})
            return 0
        if answer.number:
            self._trials[holder] = frozenset(traits)
        return answer.number

    async def _wait_for_change(self) -> None:
        try:
            await wait_for(self._timer, self._changed.wait(), CLAIM_PAUSE_SECONDS)
        except TimeoutError:
            return

    def release(self, holder: str) -> None:
        """End a request's trial, whatever its end; other requests do nothing here."""
        traits = self._trials.pop(holder, frozenset())
        if traits:
            self._changed.notify()
        if not traits.isdisjoint(self._mirror.verdicts):
            self._tasks.spawn(self._release(holder))

    async def _release(self, holder: str) -> None:
        try:
            await self._client.propose(command.ReleaseTrial(holder))
        except error.SeamError as failure:
            # The trial ends by itself.
            logger.info("trial not released", extra={"cause": failure.message})

    def record_sound(self, traits: Collection[str]) -> None:
        """Record that a request with these traits was proven sound."""
        now = self._timer.read_clock()
        for trait in traits:
            self._sound_times.pop(trait, None)
            self._sound_times[trait] = now
        while len(self._sound_times) > SOUND_LIMIT:
            del self._sound_times[next(iter(self._sound_times))]
        self._clear(trait for trait in traits if trait in self._mirror.verdicts)

    def _update(self) -> None:
        """Clear new suspects that were proven sound just before."""
        verdicts = self._mirror.verdicts
        changed = [t for t, found in verdicts.items() if self._verdicts.get(t) != found]
        oldest = self._timer.read_clock() - SOUND_SECONDS
        self._clear(t for t in changed if self._sound_times.pop(t, oldest) > oldest)
        self._verdicts = dict(verdicts)
        self._changed.notify()

    def _clear(self, traits: Iterable[str]) -> None:
        self._uncleared.update(traits)
        if self._uncleared and not self._is_clearing:
            self._is_clearing = True
            self._tasks.spawn(self._send_proofs())

    async def _send_proofs(self) -> None:
        """Send the collected traits, one command at a time."""
        try:
            while self._uncleared:
                cleared = tuple(sorted(self._uncleared))
                self._uncleared.clear()
                await self._client.propose(command.ClearTraits(cleared))
        except error.SeamError as failure:
            # The next sound request with these traits clears them.
            logger.info("traits not cleared", extra={"cause": failure.message})
        finally:
            self._is_clearing = False


def _make_refusal(seconds: float) -> error.CapacityError:
    return error.CapacityError(
        "upstreams crashed under requests like this one",
        error.Kind.REQUEST_QUARANTINED,
        retry_after=seconds,
    )
