"""Spreads the return of refused requests in the order in which they can be served.

Load: a service has too few slots for some seconds, so many requests are refused at
nearly the same time. If all are told the same time, they return together and most are
refused once more.

Each refused request books a moment at which it returns. Not more are booked for any
short span than the slots that are expected to be left over can serve. The bookings of
one customer are spaced by its share, so the backlog of one leaves the first moments to
the others.
"""

from collections import Counter

# The spans in which bookings are counted.
SPAN_SECONDS = 0.05


class ReturnCalendar:
    """Books the returns of refused requests to one service.

    No return is booked more than `longest` seconds ahead: what doesn't fit into that
    time is booked at its end.

    >>> calendar = ReturnCalendar(2.0)
    >>> [round(calendar.book("c", 0.0, 10.0, 0.25, 0.0), 2) for _ in range(3)]
    [0.0, 0.25, 0.5]
    """

    def __init__(self, longest: float):
        self._longest = longest
        # How many returns are booked by number of the span.
        self._booked: Counter[int] = Counter()
        # The earliest next return by customer.
        self._nexts: dict[str, float] = {}
        self._first_span = 0

    def book(
        self, customer: str, earliest: float, rate: float, spacing: float, now: float
    ) -> float:
        """Return the seconds after which a refused request of a customer returns.

        All customers together return at most `rate` times a second, and this one once
        in `spacing` seconds, not before `earliest`.
        """
        self._forget(now)
        end = now + self._longest
        begin = min(max(earliest, self._nexts.get(customer, 0.0), now), end)
        capacity = max(rate * SPAN_SECONDS, 1.0)
        span, last = int(begin / SPAN_SECONDS), int(end / SPAN_SECONDS)
        while span < last and self._booked[span] >= capacity:
            span += 1
        spread = self._booked[span] / capacity * SPAN_SECONDS
        at = min(max(begin, span * SPAN_SECONDS + spread), end)
        self._booked[span] += 1
        self._nexts[customer] = at + spacing
        return at - now

    def _forget(self, now: float) -> None:
        """Forget the bookings that are over."""
        current = int(now / SPAN_SECONDS)
        if current == self._first_span:
            return
        self._first_span = current
        for span in [span for span in self._booked if span < current]:
            del self._booked[span]
        if len(self._nexts) > 2 * len(self._booked) + 1:
            self._nexts = {name: at for name, at in self._nexts.items() if at > now}
