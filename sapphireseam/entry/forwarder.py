"""Forwards requests to upstreams that have an agent, with retries.

A request that provably never ran may be retried on another replica. A request
that may have run is retried only if its route is idempotent and its caller has
received nothing, or if its answer is a stream that can be resumed. On a route
that isn't idempotent the agent asks for permission before it sends the request
to its upstream. The entry gives the permission again only if an agent reports
that the first one was not used.

An error says "not run" only if no attempt of the request may have run.
"""

import asyncio
import functools
import logging
import random
from collections.abc import Callable

from sapphireseam.core import error, exchange, fleet
from sapphireseam.entry import access
from sapphireseam.entry.delivery import Delivery, Sink
from sapphireseam.entry.link import AgentLink, Attempt, AttemptStopped, LinkLost
from sapphireseam.entry.quarantine import QuarantineGate
from sapphireseam.entry.routedrequest import RoutedRequest
from sapphireseam.policy import retry, router
from sapphireseam.utils import crash
from sapphireseam.utils.grace import Grace
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService

logger = logging.getLogger(__name__)

# The status of an overloaded upstream. It doesn't prove that the request never ran.
_OVERLOADED_STATUS = 503
# The agent gets credit for more data after the caller has taken this many bytes.
CREDIT_BYTES = 64 * 1024
# Retries that a route with little traffic may make beyond its ratio, enough for
# the requests of one crashed upstream.
MIN_RETRIES = 10.0
# Retry-After of a missed deadline, and of an unknown outcome on an idempotent route.
FAILED_RETRY_SECONDS = 1.0
# Errors that an attempt at another replica would only repeat.
_FINAL_KINDS = frozenset(
    {
        error.Kind.REQUEST_QUARANTINED,
        error.Kind.DEADLINE_EXCEEDED,
        error.Kind.KEY_INVALID,
        error.Kind.CONTROL_UNREACHABLE,
    }
)

StopFuture = asyncio.Future[error.SeamError]


class AttemptFailed(Exception):  # noqa: N818
    """Report why one attempt ended without a complete answer.

    `not_run` describes this attempt only. `crashed` says that the upstream crashed
    while it ran the request.
    """

    def __init__(self, failure: error.SeamError, not_run: bool, crashed: bool = False):
        super().__init__(failure.message)
        self.failure = failure
        self.not_run = not_run
        self.crashed = crashed


class Forwarder:
    """Forward requests over the agent links of one entry."""

    def __init__(
        self,
        failure_domain: str,
        mirror: Mirror,
        links: dict[str, AgentLink],
        timeline: Timeline,
        timer: TimerService,
        rng: random.Random,
        build_router: Callable[[str], router.Router],
        gate: QuarantineGate,
        grace: Grace | None = None,
    ):
        self._grace = grace or Grace(timer=timer)
        self._gate = gate
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

    async def serve(
        self, request: RoutedRequest, sink: Sink, stopped: StopFuture
    ) -> None:
        """Deliver the answer, or raise the final error.

        Once `stopped` has a result, the request ends with that error.
        """
        traits = request.make_traits()
        record_sound = functools.partial(self._gate.record_sound, traits)
        proof = crash.Proof(self._timer, record_sound)
        delivery = Delivery(request, sink, traits, proof)
        try:
            await self._serve(delivery, stopped)
        finally:
            self._gate.release(request.id)

    async def _serve(self, delivery: Delivery, stopped: StopFuture) -> None:
        budget = self._get_budget(delivery.request)
        budget.record(self._timer.read_clock())
        tried: set[str] = set()
        has_crashed = False
        attempts = 0
        while True:
            attempts += 1
            try:
                alone = await self._admit(delivery, has_crashed)
                await self._attempt(delivery, tried, alone, stopped)
                return
            except AttemptFailed as failed:
                delivery.possibly_run = delivery.possibly_run or not failed.not_run
                has_crashed = failed.crashed
                await self._plan_retry(delivery, failed, attempts, budget, stopped)

    async def _admit(self, delivery: Delivery, has_crashed: bool = False) -> bool:
        """Return whether the next attempt is a trial, which runs alone.

        Raise `AttemptFailed` if the quarantine refuses it.
        """
        if delivery.proof.is_proven:
            return False
        holder = delivery.request.id
        try:
            return await self._gate.admit(delivery.traits, holder, has_crashed)
        except error.CapacityError as failure:
            raise AttemptFailed(failure, True) from None

    def _get_budget(self, request: RoutedRequest) -> retry.RetryBudget:
        key = request.route_name, request.route.retry_ratio
        if key not in self._budgets:
            ratio = request.route.retry_ratio
            self._budgets[key] = retry.RetryBudget(ratio, MIN_RETRIES)
        return self._budgets[key]

    async def _plan_retry(
        self,
        delivery: Delivery,
        failed: AttemptFailed,
        attempts: int,
        budget: retry.RetryBudget,
        stopped: StopFuture,
    ) -> None:
        """Wait for the retry delay, or raise the final error."""
        request = delivery.request
        if not self._may_retry(delivery, failed):
            raise self._make_final_error(delivery, failed.failure)
        if delivery.begun:
            # A resumed stream isn't run again from the start and doesn't multiply
            # the load, so the route's retry budget doesn't apply. The number of
            # attempts bounds it.
            budget = retry.RetryBudget(0.0, retry.MAX_ATTEMPTS)
        now = self._timer.read_clock()
        delay = self._planner.plan(attempts, now, request.deadline, budget)
        if delay is None:
            raise self._make_final_error(delivery, failed.failure)
        self._timeline.record(
            "retry", request.id, request.caller.customer, detail=failed.failure.kind
        )
        await self._wait(delivery, delay, stopped)

    async def _wait(
        self, delivery: Delivery, delay: float, stopped: StopFuture
    ) -> None:
        timer_task = asyncio.ensure_future(self._timer.sleep(delay))
        try:
            await asyncio.wait(
                {timer_task, stopped}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer_task.cancel()
        if stopped.done():
            raise self._make_final_error(delivery, stopped.result())

    def _may_retry(self, delivery: Delivery, failed: AttemptFailed) -> bool:
        if failed.failure.kind in _FINAL_KINDS:
            return False
        if not delivery.request.route.idempotent and delivery.possibly_run:
            return False
        return delivery.may_continue()

    def _make_final_error(
        self, delivery: Delivery, failure: error.SeamError
    ) -> error.SeamError:
        """Return the final error; its `not_run` covers all attempts."""
        failure.not_run = not delivery.possibly_run
        is_refused_late = (
            failure.kind is error.Kind.REQUEST_QUARANTINED and delivery.possibly_run
        )
        unknown = failure.kind is error.Kind.OUTCOME_UNKNOWN
        if is_refused_late or (unknown and delivery.request.route.idempotent):
            kind = error.Kind.UPSTREAM_FAILED
            text = failure.message
            return error.OutcomeError(text, kind, FAILED_RETRY_SECONDS, False)
        return failure

    async def _attempt(
        self, delivery: Delivery, tried: set[str], alone: bool, stopped: StopFuture
    ) -> None:
        request = delivery.request
        self._check_may_run(request, stopped)
        self._check_grace(delivery)
        link = self._choose_link(delivery, tried, alone)
        upstream = self._mirror.fleet.upstreams[link.upstream]
        version = upstream.version
        try:
            attempt = link.open_attempt()
        except error.SeamError as failure:
            raise AttemptFailed(failure, True) from None
        tried.add(link.upstream)

        def stop(future: StopFuture) -> None:
            if not future.cancelled():
                attempt.enqueue(AttemptStopped(attempt.number, future.result()))

        stopped.add_done_callback(stop)
        deadline_task = asyncio.ensure_future(self._enqueue_deadline(request, attempt))
        complete = False
        try:
            served = version or upstream.service
            attempt.send(self._make_offer(delivery, attempt, alone, served))
            self._timeline.record(
                "attempt", request.id, request.caller.customer, detail=link.upstream
            )
            await self._read_messages(delivery, attempt, alone, stopped)
            complete = True
        finally:
            if delivery.begun and not delivery.version:
                delivery.version = version
            deadline_task.cancel()
            stopped.remove_done_callback(stop)
            attempt.close(revoke=not complete)

    async def _enqueue_deadline(self, request: RoutedRequest, attempt: Attempt) -> None:
        await self._timer.sleep(request.deadline - self._timer.read_clock())
        attempt.enqueue(AttemptStopped(attempt.number, _make_deadline_error()))

    def _check_may_run(self, request: RoutedRequest, stopped: StopFuture) -> None:
        """Raise `AttemptFailed` if the request must not run any more.

        This process may have been frozen for a while, so the deadline and the
        key are checked again before each attempt and each `Go`.
        """
        failure = None
        if stopped.done():
            failure = stopped.result()
        elif self._timer.read_clock() >= request.deadline:
            failure = _make_deadline_error()
        elif not access.is_valid(self._mirror, request.caller):
            failure = access.make_invalid_key_error(self._mirror)
        if failure is not None:
            raise AttemptFailed(failure, True)

    def _check_grace(self, delivery: Delivery) -> None:
        """Raise the final error if a stop may cut a request that must not run twice."""
        request = delivery.request
        if request.route.idempotent:
            return
        try:
            self._grace.bound(request.deadline, is_idempotent=False)
        except error.CapacityError as failure:
            raise self._make_final_error(delivery, failure) from None

    def _make_offer(
        self, delivery: Delivery, attempt: Attempt, alone: bool, served: str
    ) -> exchange.Offer:
        request = delivery.request
        traits = () if delivery.proof.is_proven else delivery.traits
        return exchange.Offer(
            attempt.number,
            request.caller.customer,
            request.method,
            request.target,
            request.headers,
            delivery.render_body(),
            request.deadline - self._timer.read_clock(),
            request.cost,
            not request.route.idempotent,
            alone,
            request.fingerprint if traits else "",
            self._timeline.clock.last,
            traits[1:],
            served,
        )

    async def _read_messages(
        self, delivery: Delivery, attempt: Attempt, alone: bool, stopped: StopFuture
    ) -> None:
        """Handle an attempt's messages until its answer is complete."""
        possibly_run = delivery.request.route.idempotent
        uncredited = 0
        while True:
            item = await attempt.receive()
            match item:
                case exchange.Ready():
                    if not alone:
                        # A verdict may have come while the request waited.
                        await self._admit(delivery)
                    self._check_may_run(delivery.request, stopped)
                    self._check_grace(delivery)
                    possibly_run = True
                    attempt.send(exchange.Go(attempt.number))
                case exchange.Head():
                    self._handle_head(delivery, item)
                case exchange.Data():
                    await self._handle_data(delivery, item)
                    uncredited += len(item.body)
                    if uncredited >= CREDIT_BYTES:
                        attempt.send(exchange.Credit(attempt.number, uncredited))
                        uncredited = 0
                case exchange.End():
                    await self._finish_answer(delivery)
                    return
                case exchange.Fail() | LinkLost() if delivery.is_complete():
                    await delivery.finish()
                    return
                case exchange.Fail():
                    raise self._convert_fail(item)
                case LinkLost():
                    raise self._convert_loss(possibly_run)
                case AttemptStopped():
                    delivery.possibly_run = delivery.possibly_run or possibly_run
                    raise self._make_final_error(delivery, item.failure)

    def _handle_head(self, delivery: Delivery, head: exchange.Head) -> None:
        """Accept the head, or raise `AttemptFailed` if it can't go to the caller."""
        if head.status == _OVERLOADED_STATUS and delivery.request.route.idempotent:
            text = "the upstream is overloaded"
            raise AttemptFailed(error.CapacityError(text), False)
        if not delivery.accept_head(head):
            text = f"the answer couldn't be resumed: {head.status}"
            failure = error.OutcomeError(text, error.Kind.UPSTREAM_FAILED)
            raise AttemptFailed(failure, False)

    async def _handle_data(self, delivery: Delivery, data: exchange.Data) -> None:
        """Accept a part of the body, or raise `AttemptFailed`.

        It is raised if an event has no end or doesn't belong to a resumed answer.
        """
        await delivery.accept_data(data.body)
        text = ""
        if delivery.has_endless_event():
            text = "the upstream sent an event without end"
        elif delivery.has_foreign_event():
            text = "the upstream did not resume the stream"
        if text:
            failure = error.OutcomeError(text, error.Kind.UPSTREAM_FAILED)
            raise AttemptFailed(failure, False)

    async def _finish_answer(self, delivery: Delivery) -> None:
        if delivery.ended_early():
            text = "the upstream ended the stream early"
            failure = error.OutcomeError(text, error.Kind.UPSTREAM_FAILED)
            raise AttemptFailed(failure, False)
        await delivery.finish()

    def _convert_fail(self, item: exchange.Fail) -> AttemptFailed:
        failure = error.SeamError(
            item.message, error.Kind(item.kind), item.retry_after or None, item.not_run
        )
        return AttemptFailed(failure, item.not_run, item.died)

    def _convert_loss(self, possibly_run: bool) -> AttemptFailed:
        text = "the link to the upstream's agent was lost"
        if possibly_run:
            return AttemptFailed(error.OutcomeError(text), False)
        failure = error.CapacityError(text, error.Kind.NO_UPSTREAM)
        return AttemptFailed(failure, True)

    def _list_upstreams(self, delivery: Delivery) -> list[str]:
        """Return the upstreams that may answer, or continue an answer that began.

        Texts of two model versions don't fit together.
        """
        request, found = delivery.request, self._mirror.fleet
        if delivery.version:
            names = found.upstreams
            return [n for n in names if names[n].version == delivery.version]
        return fleet.list_upstreams(found, request.model, request.route.service)

    def _choose_link(
        self, delivery: Delivery, tried: set[str], alone: bool
    ) -> AgentLink:
        """Return the link for the next attempt, preferably to an untried replica."""
        request = delivery.request
        names = self._list_upstreams(delivery)
        candidates = [
            self._make_candidate(name) for name in names if self._is_usable(name)
        ]
        now = self._timer.read_clock()
        self._update_router()
        for exclude in (frozenset(tried), frozenset()):
            query = router.Query(request.caller.customer, (), exclude, alone)
            name = self._router.choose(query, candidates, now)
            if name is not None:
                self._router.record(query, name, now)
                return self._links[name]
        text = "no upstream of this route can accept a request now"
        failure = error.CapacityError(text, error.Kind.NO_UPSTREAM)
        raise AttemptFailed(failure, True)

    def _update_router(self) -> None:
        """Use the router of the configuration in force."""
        name = self._mirror.fleet.policy.router
        if name != self._router_name:
            self._router_name = name
            self._router = self._build_router(name)

    def _is_usable(self, name: str) -> bool:
        link = self._links.get(name)
        if link is None or not link.is_up() or name in self._mirror.leaving:
            return False
        domain = self._mirror.fleet.upstreams[name].failure_domain
        if self._mirror.evacuated.covers(domain):
            return False
        return link.load.healthy and not link.load.leaving

    def _make_candidate(self, name: str) -> router.Candidate:
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


def _make_deadline_error() -> error.SeamError:
    text = "the request's deadline has passed"
    kind = error.Kind.DEADLINE_EXCEEDED
    return error.CapacityError(text, kind, FAILED_RETRY_SECONDS)
