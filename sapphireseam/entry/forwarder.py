"""Carry one request to a replica and its answer back, with retries.

The rule for a second attempt: a request that provably never ran may go to
another replica; one that may have run goes only if its route is idempotent
and its caller has seen nothing, or if it is a stream that can be resumed. On
a route that isn't idempotent the agent asks before it hands the request over,
and the entry says yes at most once: a second yes would need an agent's word
that the first was not used.

"Not run" is said of a request only if no attempt of it may have run.
"""

import asyncio
import logging
import random
from collections.abc import Callable

from sapphireseam.core import error, exchange, fleet
from sapphireseam.entry import access
from sapphireseam.entry.delivery import Delivery, Sink
from sapphireseam.entry.link import AgentLink, Attempt, AttemptStopped, LinkLost
from sapphireseam.entry.routedrequest import RoutedRequest
from sapphireseam.policy import retry, router
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService

logger = logging.getLogger(__name__)

# Answers of an upstream that say it didn't take the request.
_BUSY_STATUS = 503
# Bytes that the caller took for which the agent gets credit in one message.
CREDIT_BYTES = 64 * 1024
# Retries that a quiet route may make all the same, enough for the requests of
# one upstream that died.
LEAST_RETRIES = 10.0
# When to come back after an idempotent request failed for good, in seconds.
FAILED_RETRY_SECONDS = 1.0
# Refusals that another replica would only repeat.
_FINAL = frozenset(
    {
        error.Kind.REQUEST_QUARANTINED,
        error.Kind.DEADLINE_EXCEEDED,
        error.Kind.KEY_INVALID,
        error.Kind.CONTROL_UNREACHABLE,
    }
)

StopFuture = asyncio.Future[error.SeamError]


class AttemptFailed(Exception):  # noqa: N818
    """Report why one attempt ended without a whole answer.

    `not_run` is about this attempt only.
    """

    def __init__(self, failure: error.SeamError, not_run: bool, died: bool = False):
        super().__init__(failure.message)
        self.failure = failure
        self.not_run = not_run
        self.died = died


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
        self._budgets: dict[tuple[str, float], retry.RetryBudget] = {}

    async def serve(self, ask: RoutedRequest, sink: Sink, stopped: StopFuture) -> None:
        """Deliver the answer, or raise the final error at once.

        `stopped` ends the request when it gets its result.
        """
        delivery = Delivery(ask, sink)
        budget = self._find_budget(ask)
        budget.record(self._timer.read_clock())
        tried: set[str] = set()
        alone = False
        made = 0
        while True:
            made += 1
            alone = alone or ask.fingerprint in self._mirror.suspects
            try:
                await self._attempt(delivery, tried, alone, stopped)
                return
            except AttemptFailed as failed:
                delivery.possibly_run = delivery.possibly_run or not failed.not_run
                if failed.died and alone:
                    failed = AttemptFailed(_explain_quarantine(), False)
                alone = alone or failed.died
                await self._plan_retry(delivery, failed, made, budget, stopped)

    def _find_budget(self, ask: RoutedRequest) -> retry.RetryBudget:
        name = ask.route_name, ask.route.retry_ratio
        if name not in self._budgets:
            ratio = ask.route.retry_ratio
            self._budgets[name] = retry.RetryBudget(ratio, LEAST_RETRIES)
        return self._budgets[name]

    async def _plan_retry(
        self,
        delivery: Delivery,
        failed: AttemptFailed,
        made: int,
        budget: retry.RetryBudget,
        stopped: StopFuture,
    ) -> None:
        """Wait for the next attempt's time, or raise the final error."""
        ask = delivery.ask
        if not self._may_retry(delivery, failed):
            raise self._finish(delivery, failed.failure)
        if delivery.begun:
            # What is resumed isn't run again, so it multiplies no load; the
            # number of attempts bounds it.
            budget = retry.RetryBudget(0.0, retry.MOST_ATTEMPTS)
        now = self._timer.read_clock()
        delay = self._planner.plan(made, now, ask.deadline, budget)
        if delay is None:
            raise self._finish(delivery, failed.failure)
        self._timeline.record(
            "retry", ask.id, ask.caller.customer, detail=failed.failure.kind
        )
        await self._pause(delivery, delay, stopped)

    async def _pause(
        self, delivery: Delivery, delay: float, stopped: StopFuture
    ) -> None:
        alarm = asyncio.ensure_future(self._timer.sleep(delay))
        try:
            await asyncio.wait({alarm, stopped}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            alarm.cancel()
        if stopped.done():
            raise self._finish(delivery, stopped.result())

    def _may_retry(self, delivery: Delivery, failed: AttemptFailed) -> bool:
        if failed.failure.kind in _FINAL:
            return False
        if not delivery.ask.route.idempotent and delivery.possibly_run:
            return False
        return delivery.may_continue()

    def _finish(self, delivery: Delivery, failure: error.SeamError) -> error.SeamError:
        """Return the final error, truthful about all attempts."""
        failure.not_run = not delivery.possibly_run
        unknown = failure.kind is error.Kind.OUTCOME_UNKNOWN
        if unknown and delivery.ask.route.idempotent:
            kind = error.Kind.UPSTREAM_FAILED
            text = failure.message
            return error.OutcomeError(text, kind, FAILED_RETRY_SECONDS, False)
        return failure

    async def _attempt(
        self, delivery: Delivery, tried: set[str], alone: bool, stopped: StopFuture
    ) -> None:
        ask = delivery.ask
        self._check_caller(ask, stopped)
        link = self._choose(ask, tried, alone)
        try:
            attempt = link.open_attempt()
        except error.SeamError as failure:
            raise AttemptFailed(failure, True) from None
        tried.add(link.upstream)

        def stop(future: StopFuture) -> None:
            if not future.cancelled():
                attempt.post(AttemptStopped(attempt.number, future.result()))

        stopped.add_done_callback(stop)
        alarm = asyncio.ensure_future(self._post_deadline(ask, attempt))
        whole = False
        try:
            attempt.send(self._render_offer(delivery, attempt, alone))
            self._timeline.record(
                "attempt", ask.id, ask.caller.customer, detail=link.upstream
            )
            await self._follow(delivery, attempt, stopped)
            whole = True
        finally:
            alarm.cancel()
            stopped.remove_done_callback(stop)
            attempt.close(revoke=not whole)

    async def _post_deadline(self, ask: RoutedRequest, attempt: Attempt) -> None:
        await self._timer.sleep(ask.deadline - self._timer.read_clock())
        attempt.post(AttemptStopped(attempt.number, _miss_deadline()))

    def _check_caller(self, ask: RoutedRequest, stopped: StopFuture) -> None:
        """Raise `AttemptFailed` if the request must not run any more.

        This process may have been frozen for a while, so the deadline and the
        key are looked at again before each hand-over.
        """
        failure = None
        if stopped.done():
            failure = stopped.result()
        elif self._timer.read_clock() >= ask.deadline:
            failure = _miss_deadline()
        elif not access.is_valid(self._mirror, ask.caller):
            failure = access.explain_invalid(self._mirror)
        elif ask.fingerprint in self._mirror.quarantined:
            failure = _explain_quarantine()
        if failure is not None:
            raise AttemptFailed(failure, True)

    def _render_offer(
        self, delivery: Delivery, attempt: Attempt, alone: bool
    ) -> exchange.Offer:
        ask = delivery.ask
        return exchange.Offer(
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

    async def _follow(
        self, delivery: Delivery, attempt: Attempt, stopped: StopFuture
    ) -> None:
        """Read an attempt's messages until its answer is whole."""
        possibly_run = delivery.ask.route.idempotent
        taken = 0
        while True:
            item = await attempt.receive()
            match item:
                case exchange.Ready():
                    self._check_caller(delivery.ask, stopped)
                    possibly_run = True
                    attempt.send(exchange.Go(attempt.number))
                case exchange.Head():
                    self._take_head(delivery, item)
                case exchange.Data():
                    await delivery.take_data(item.body)
                    taken += len(item.body)
                    if taken >= CREDIT_BYTES:
                        attempt.send(exchange.Credit(attempt.number, taken))
                        taken = 0
                case exchange.End():
                    await self._end(delivery)
                    return
                case exchange.Fail() | LinkLost() if delivery.is_whole():
                    await delivery.take_end()
                    return
                case exchange.Fail():
                    raise self._explain_fail(item)
                case LinkLost():
                    raise self._explain_loss(possibly_run)
                case AttemptStopped():
                    delivery.possibly_run = delivery.possibly_run or possibly_run
                    raise self._finish(delivery, item.failure)

    def _take_head(self, delivery: Delivery, head: exchange.Head) -> None:
        """Take the head, or turn an engine's own refusal into a failed attempt."""
        if head.status == _BUSY_STATUS and delivery.ask.route.idempotent:
            text = "the upstream is overloaded"
            raise AttemptFailed(error.CapacityError(text), False)
        if not delivery.take_head(head):
            text = f"the answer couldn't be resumed: {head.status}"
            failure = error.OutcomeError(text, error.Kind.UPSTREAM_FAILED)
            raise AttemptFailed(failure, False)

    async def _end(self, delivery: Delivery) -> None:
        if delivery.ended_early():
            text = "the upstream ended the stream early"
            failure = error.OutcomeError(text, error.Kind.UPSTREAM_FAILED)
            raise AttemptFailed(failure, False)
        await delivery.take_end()

    def _explain_fail(self, item: exchange.Fail) -> AttemptFailed:
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

    def _choose(self, ask: RoutedRequest, tried: set[str], alone: bool) -> AgentLink:
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
            link.in_flight_at_load,
            link.load_at,
            link.latency,
            load.leaving,
            False,
        )


def _miss_deadline() -> error.SeamError:
    text = "the request's deadline has passed"
    kind = error.Kind.DEADLINE_EXCEEDED
    return error.CapacityError(text, kind, FAILED_RETRY_SECONDS)


def _explain_quarantine() -> error.SeamError:
    text = "this request crashed the upstreams that ran it"
    return error.RequestError(text, error.Kind.REQUEST_QUARANTINED)
