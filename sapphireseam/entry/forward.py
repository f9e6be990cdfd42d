"""Carry one request to a replica and its answer back, with retries.

The rule for a second attempt: a request that provably never ran may go to
another replica; one that may have run goes only if its route is idempotent
and its caller has seen nothing, or if it is a stream that can be resumed. On
a route that isn't idempotent the agent asks before it hands the request over,
and the entry says yes at most once.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Protocol

from sapphireseam.core import error, fleet, message
from sapphireseam.entry import resume
from sapphireseam.entry.ask import Ask
from sapphireseam.entry.link import AgentLink, Attempt, Lost, Stopped
from sapphireseam.policy import retry, router
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, wait_for

logger = logging.getLogger(__name__)

# A whole answer up to this size is kept back until it is whole.
WHOLE_BYTES = 8 * 1024 * 1024
# Answers of an upstream that say it didn't take the request.
_BUSY_STATUS = 503


class Sink(Protocol):
    """Take an answer for the caller."""

    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Begin the answer."""

    async def write(self, data: bytes) -> None:
        """Continue the answer."""

    async def finish(self) -> None:
        """End the answer, which is whole."""


class AttemptFailed(Exception):  # noqa: N818
    """Report why one attempt ended without a whole answer."""

    def __init__(self, failure: error.SeamError, not_run: bool, died: bool = False):
        super().__init__(failure.message)
        self.failure = failure
        self.not_run = not_run
        self.died = died


class Delivery:
    """Track one request's answer over all of its attempts."""

    def __init__(self, ask: Ask, sink: Sink):
        self.ask = ask
        self.sink = sink
        self.follower = resume.EventFollower() if ask.streamed else None
        self.handed_over = False
        self.begun = False
        self._head: message.Head | None = None
        self._kept = bytearray()

    def take_head(self, head: message.Head) -> None:
        """Keep an answer's head until its first bytes go out."""
        self._head = head
        self._kept.clear()

    async def take_data(self, data: bytes) -> None:
        """Pass bytes on, or keep them while the answer can still be replaced."""
        if self.follower is not None and self._head.status < 400:
            data = self.follower.feed(data)
            if data:
                await self._pass_on(data)
            return
        self._kept += data
        if self.begun or len(self._kept) > WHOLE_BYTES:
            await self._flush()

    async def take_end(self) -> None:
        """End the answer."""
        await self._flush()
        await self._begin()
        await self.sink.finish()

    async def _flush(self) -> None:
        if self._kept:
            data = bytes(self._kept)
            self._kept.clear()
            await self._pass_on(data)

    async def _begin(self) -> None:
        if not self.begun:
            self.begun = True
            await self.sink.begin(self._head.status, self._head.headers)

    async def _pass_on(self, data: bytes) -> None:
        await self._begin()
        await self.sink.write(data)

    def may_resume(self) -> bool:
        """Tell whether a cut stream can go on elsewhere."""
        return self.follower is not None and bool(self.ask.model)

    def render_body(self) -> bytes:
        """Return the body for the next attempt."""
        if self.follower is None or not self.follower.tokens:
            return self.ask.body
        self.follower.resume()
        return resume.render_resumed_body(self.ask.body, self.follower.tokens)


class Forwarder:
    """Route requests over all agent links of one entry."""

    def __init__(
        self,
        failure_domain: str,
        mirror: Mirror,
        links: dict[str, AgentLink],
        timeline: Timeline,
        timer: TimerService,
        rng: random.Random,
        build_router: Callable[[str], router.Router],
    ):
        self._failure_domain = failure_domain
        self._mirror = mirror
        self._links = links
        self._timeline = timeline
        self._timer = timer
        self._build_router = build_router
        self._router_name = ""
        self._router: router.Router | None = None
        self._planner = retry.Planner(rng)
        self._budgets: dict[str, retry.RetryBudget] = {}

    async def serve(
        self, ask: Ask, sink: Sink, stopped: asyncio.Future[error.SeamError]
    ) -> None:
        """Deliver the answer, or raise the final error at once.

        `stopped` ends the request when it gets its result.
        """
        delivery = Delivery(ask, sink)
        budget = self._budgets.setdefault(
            ask.route_name, retry.RetryBudget(ask.route.retry_ratio)
        )
        budget.record(self._timer.read_clock())
        tried: set[str] = set()
        alone = False
        made = 0
        while True:
            made += 1
            try:
                await self._attempt(delivery, tried, alone, stopped)
                return
            except AttemptFailed as failed:
                alone = alone or failed.died
                await self._plan_retry(delivery, failed, made, budget)

    async def _plan_retry(
        self,
        delivery: Delivery,
        failed: AttemptFailed,
        made: int,
        budget: retry.RetryBudget,
    ) -> None:
        """Wait for the next attempt's time, or raise the final error."""
        ask = delivery.ask
        if not self._may_retry(delivery, failed):
            raise failed.failure
        now = self._timer.read_clock()
        delay = self._planner.plan(made, now, ask.deadline, budget)
        if delay is None:
            raise failed.failure
        self._timeline.record(
            "retry", ask.id, ask.caller.customer, detail=failed.failure.kind
        )
        await self._timer.sleep(delay)

    def _may_retry(self, delivery: Delivery, failed: AttemptFailed) -> bool:
        if failed.not_run and not delivery.begun:
            return True
        if not delivery.ask.route.idempotent:
            return False
        return not delivery.begun or delivery.may_resume()

    async def _attempt(
        self,
        delivery: Delivery,
        tried: set[str],
        alone: bool,
        stopped: asyncio.Future[error.SeamError],
    ) -> None:
        ask = delivery.ask
        link = self._choose(ask, tried, alone)
        try:
            attempt = link.open_attempt()
        except error.SeamError as failure:
            raise AttemptFailed(failure, True) from None
        tried.add(link.upstream)

        def stop(future: asyncio.Future[error.SeamError]) -> None:
            if not future.cancelled():
                attempt.post(Stopped(attempt.number, future.result()))

        stopped.add_done_callback(stop)
        whole = False
        try:
            attempt.send(self._render_offer(delivery, attempt, alone))
            self._timeline.record(
                "attempt", ask.id, ask.caller.customer, detail=link.upstream
            )
            await self._follow(delivery, attempt)
            whole = True
        finally:
            stopped.remove_done_callback(stop)
            attempt.close(revoke=not whole)

    def _render_offer(
        self, delivery: Delivery, attempt: Attempt, alone: bool
    ) -> message.Offer:
        ask = delivery.ask
        return message.Offer(
            attempt.number,
            ask.caller.customer,
            ask.method,
            ask.target,
            ask.headers,
            delivery.render_body(),
            ask.deadline - self._timer.read_clock(),
            ask.cost,
            not ask.route.idempotent,
            alone,
            ask.fingerprint,
            self._timeline.clock.last,
        )

    async def _follow(self, delivery: Delivery, attempt: Attempt) -> None:
        """Read an attempt's messages until its answer is whole."""
        ask = delivery.ask
        possibly_run = ask.route.idempotent
        while True:
            left = ask.deadline - self._timer.read_clock()
            try:
                item = await wait_for(self._timer, attempt.receive(), max(left, 0.0))
            except TimeoutError:
                text = "the request's deadline has passed"
                failure = error.CapacityError(text, error.Kind.DEADLINE_EXCEEDED)
                raise AttemptFailed(failure, False) from None
            match item:
                case message.Ready():
                    possibly_run = True
                    delivery.handed_over = True
                    attempt.send(message.Go(attempt.number))
                case message.Head():
                    self._check_busy(delivery, item)
                    delivery.take_head(item)
                case message.Data():
                    await delivery.take_data(item.body)
                case message.End():
                    await self._end(delivery)
                    return
                case message.Fail():
                    raise self._explain_fail(item)
                case Lost():
                    raise self._explain_loss(possibly_run)
                case Stopped():
                    item.failure.not_run = not possibly_run
                    raise item.failure

    def _check_busy(self, delivery: Delivery, head: message.Head) -> None:
        """Turn an engine's own refusal into a failed attempt."""
        if head.status == _BUSY_STATUS and delivery.ask.route.idempotent:
            text = "the upstream is overloaded"
            raise AttemptFailed(error.CapacityError(text), False)

    async def _end(self, delivery: Delivery) -> None:
        follower = delivery.follower
        if follower is not None and delivery.begun and not follower.done:
            text = "the upstream ended the stream early"
            failure = error.OutcomeError(text, error.Kind.UPSTREAM_FAILED)
            raise AttemptFailed(failure, False)
        await delivery.take_end()

    def _explain_fail(self, item: message.Fail) -> AttemptFailed:
        failure = error.SeamError(
            item.message, error.Kind(item.kind), item.retry_after or None, item.not_run
        )
        return AttemptFailed(failure, item.not_run, item.died)

    def _explain_loss(self, possibly_run: bool) -> AttemptFailed:
        text = "the link to the upstream's agent was lost"
        if possibly_run:
            return AttemptFailed(error.OutcomeError(text), False)
        failure = error.CapacityError(text, error.Kind.NO_UPSTREAM)
        return AttemptFailed(failure, True)

    def _choose(self, ask: Ask, tried: set[str], alone: bool) -> AgentLink:
        """Return the replica for the next attempt, an untried one if there is."""
        names = fleet.list_upstreams(self._mirror.fleet, ask.model, ask.route.service)
        candidates = [self._describe(name) for name in names if self._is_usable(name)]
        now = self._timer.read_clock()
        self._follow_policy()
        for exclude in (frozenset(tried), frozenset()):
            query = router.Query(ask.caller.customer, (), exclude, alone)
            name = self._router.choose(query, candidates, now)
            if name is not None:
                self._router.record(query, name, now)
                return self._links[name]
        text = "no upstream of this route can take a request now"
        failure = error.CapacityError(text, error.Kind.NO_UPSTREAM)
        raise AttemptFailed(failure, True)

    def _follow_policy(self) -> None:
        """Use the router that the configuration in force names."""
        name = self._mirror.fleet.policy.router
        if name != self._router_name:
            self._router_name = name
            self._router = self._build_router(name)

    def _is_usable(self, name: str) -> bool:
        link = self._links.get(name)
        if link is None or not link.is_up() or name in self._mirror.leaving:
            return False
        return link.load.healthy and not link.load.leaving

    def _describe(self, name: str) -> router.Candidate:
        link = self._links[name]
        load = link.load
        domain = self._mirror.fleet.upstreams[name].failure_domain
        distance = fleet.measure_distance(
            self._mirror.fleet, self._failure_domain, domain
        )
        return router.Candidate(
            name,
            domain,
            distance / 1000,
            load.running,
            load.queued,
            load.limit,
            link.in_flight,
            link.load_at,
            link.latency,
            load.leaving,
            False,
        )
