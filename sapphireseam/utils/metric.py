"""Defines the metrics of all programs and exports them in the Prometheus format.

This module is the only list of metrics. Each metric states what an operator should
do when its value is unusual; docs/METRICS.md shows the same list. A hot path records
only the values of histograms. All other metrics are read only during a scrape.

Several programs may share a process, as in `seam-local`, so every value is
labelled with the node of its program.
"""

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import NamedTuple

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider

from sapphireseam.core.ceiling import Ceiling

# Upper bounds of the histogram buckets, in seconds.
SYNC_BUCKETS = (0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0)
REQUEST_BUCKETS = (0.003, 0.01, 0.03, 0.1, 0.2, 0.34, 0.6, 1.0, 3.0, 10.0, 30.0, 60.0)


class Form(StrEnum):
    """List the instrument types."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Metric(NamedTuple):
    """Describe one metric and the `programs` that export it.

    `is_discovery` marks a metric that only programs with discovered upstreams
    export.
    """

    name: str
    form: Form
    unit: str
    labels: tuple[str, ...]
    programs: tuple[str, ...]
    text: str
    advice: str
    is_discovery: bool = False

    def get_exported_name(self) -> str:
        """Return the name under which the metric is scraped.

        >>> REQUEST.get_exported_name(), EVENTS.get_exported_name()
        ('seam_request_duration_seconds', 'seam_events_total')
        """
        name = self.name.replace(".", "_")
        if self.unit == "s":
            name += "_seconds"
        return f"{name}_total" if self.form is Form.COUNTER else name


_CONTROL = ("seam-control",)
_ENTRY = ("seam-entry",)
_AGENT = ("seam-agent",)
_ALL = _CONTROL + _ENTRY + _AGENT

REQUEST = Metric(
    "seam.request.duration",
    Form.HISTOGRAM,
    "s",
    ("route", "status"),
    _ENTRY,
    "Time from a request's arrival to the end of its answer; the count of the"
    " histogram gives the requests by route and status.",
    "Many 429: a customer exceeds its contract; see `seam-ctl status`. Many 503:"
    " look at `seam_waiting`, `seam_upstream_healthy` and `seam_confirmed`. Many"
    " 502 or 504: look at the upstreams.",
)
FIRST_TOKEN = Metric(
    "seam.first_token.duration",
    Form.HISTOGRAM,
    "s",
    ("route",),
    _ENTRY,
    "Time from a streamed request's arrival to its first token.",
    "High while `seam_waiting` is high: too few replicas, or one customer's burst."
    " High while `seam_waiting` is low: the engine itself is slow.",
)
OPEN_REQUESTS = Metric(
    "seam.open_requests",
    Form.GAUGE,
    "",
    (),
    _ENTRY,
    "Requests in progress.",
    "Rises steadily: upstreams don't answer; look at their agents.",
)
CONFIRMED = Metric(
    "seam.confirmed",
    Form.GAUGE,
    "",
    (),
    _ENTRY + _AGENT,
    "1 while a quorum confirms this process's configuration and keys, else 0.",
    "0: the process is cut off from the control VMs and refuses keyed requests;"
    " look at the network and at `seam_leader`.",
)
REVISION = Metric(
    "seam.revision",
    Form.GAUGE,
    "",
    (),
    _ALL,
    "Configuration revision in force at this process.",
    "Differs between processes for more than a few seconds: those with the lower"
    " revision lag; look at `seam_confirmed`.",
)
EVENTS = Metric(
    "seam.events",
    Form.COUNTER,
    "",
    ("event", "kind"),
    _ALL,
    "Timeline events by name; refusals, cuts and retries also by error kind.",
    "`retry`, `cut` or `upstream_died` rise: an upstream is failing; find it with"
    " `seam-ctl timeline`. `refused` rises: look up its kind in"
    " [ERRORS](ERRORS.md).",
)
RUNNING = Metric(
    "seam.running",
    Form.GAUGE,
    "",
    ("work",),
    _AGENT,
    "Requests or items that run at the upstream, by `online` and `batch`.",
    "0 while `seam_waiting` is above 0: the upstream is unhealthy.",
)
WAITING = Metric(
    "seam.waiting",
    Form.GAUGE,
    "",
    ("work",),
    _AGENT,
    "Requests or items that wait for the upstream, by `online` and `batch`.",
    "Online stays above 0: too little capacity; add replicas or slots.",
)
SLOTS = Metric(
    "seam.slots",
    Form.GAUGE,
    "",
    (),
    _AGENT,
    "Maximum number of requests that run at once, from the configuration.",
    "Differs from the published value: the agent lags; look at `seam_revision`.",
)
HEALTHY = Metric(
    "seam.upstream_healthy",
    Form.GAUGE,
    "",
    (),
    _AGENT,
    "1 if the upstream answers its health check, else 0.",
    "0: restart the upstream, or drain it and remove it from the configuration.",
)
CUT = Metric(
    "seam.cut_answers",
    Form.COUNTER,
    "",
    ("cause",),
    _ENTRY,
    "Answers of discovered upstreams that were cut after they had begun, by what ended"
    " the last attempt: `silent` (the upstream sent nothing for too long), `broken`"
    " (it broke the connection), `refused` (it didn't continue the answer),"
    " `malformed` or `deadline`.",
    "Rises: look up `answer cut` in the entry's log; `revision` there tells whether"
    " the configuration changed meanwhile.",
    is_discovery=True,
)
BULK_READS = Metric(
    "seam.bulk_reads",
    Form.COUNTER,
    "",
    ("source",),
    _ENTRY,
    "Reads of bulk jobs for discovered upstreams, by who answered: `near` (a control VM"
    " of the entry's failure domain) or `leader`.",
    "`leader` rises with `reads_nearby` set: no control VM of this failure domain"
    " answers, or the leader is in it.",
    is_discovery=True,
)
PLACEMENT = Metric(
    "seam.place.duration",
    Form.HISTOGRAM,
    "s",
    ("outcome",),
    _ENTRY,
    "Time until a request to a discovered upstream has a slot, by `placed` (by the"
    " leader), `alone` (by the entry, as no leader answered) and `refused`.",
    "`alone` rises: no leader answers; look at `seam_leader`. `refused` rises: look"
    " at `seam_places` and `seam_benched`.",
    is_discovery=True,
)
ENTRY_NUMBER = Metric(
    "seam.entry.number",
    Form.GAUGE,
    "",
    (),
    _ENTRY,
    "This entry's number among all, counted from 1, by which it spreads the requests"
    " that it places without a leader; 0 if it has none.",
    "0 although `spreads_load` is set, or the same at two entries: an entry has no view"
    " or an old one of the leader, and meets others at the same upstreams; look at"
    " `seam_leader`.",
    is_discovery=True,
)
SERVICE_SLOTS = Metric(
    "seam.places",
    Form.GAUGE,
    "",
    ("service", "work"),
    _CONTROL,
    "Slots at a service's upstreams as the leader counts them, by `online`, `batch`"
    " and `free`; `waiting` counts the requests that wait for a slot.",
    "`waiting` stays above 0: too little capacity; add replicas.",
    is_discovery=True,
)
REFUSED_SLOTS = Metric(
    "seam.refused_places",
    Form.COUNTER,
    "",
    ("service", "cause"),
    _CONTROL,
    "Requests that the leader gave no slot, by `share` (their customer used more than"
    " its share of a busy service), `full` (no room for anybody), `overtaken` (pushed"
    " back by customers that use less), `expired` (waited in vain) and `no_upstream`.",
    "`share` or `overtaken` rises: look up `request refused` in the leader's log for"
    " the customer. `full` or `expired` rises: too little capacity; add replicas.",
    is_discovery=True,
)
EJECTED = Metric(
    "seam.benched",
    Form.GAUGE,
    "",
    ("service",),
    _CONTROL,
    "Ejected upstreams: they failed and get no requests until a probe succeeds.",
    "Stays above 0: a replica doesn't answer; its platform should replace it.",
    is_discovery=True,
)
RESTING = Metric(
    "seam.resting",
    Form.GAUGE,
    "",
    ("service",),
    _CONTROL,
    "Ejected upstreams that failed again and again, and that no probe may bring back"
    " yet.",
    "Stays above 0: a replica fails part of its requests although its probe succeeds;"
    " look for `upstream ejected` with a long `rest`, and replace it.",
    is_discovery=True,
)
UPSTREAM_CEILING = Metric(
    "seam.upstream_ceiling",
    Form.GAUGE,
    "",
    (),
    _AGENT,
    "Requests per second that the upstream says in its answers that it takes; the agent"
    " sends it no more. 0 while it names no limit.",
    "Above 0 for long: the upstream is overloaded or impaired; add replicas or look at"
    " its own logs.",
)
UPSTREAM_CEILING_AGE = Metric(
    "seam.upstream_ceiling.age",
    Form.GAUGE,
    "s",
    (),
    _AGENT,
    "Time since the upstream named its present limit for the first time.",
    "As for `seam_upstream_ceiling`.",
)
CEILING = Metric(
    "seam.ceiling",
    Form.GAUGE,
    "",
    ("upstream",),
    _CONTROL,
    "Requests per second that a discovered upstream says in its answers that it takes"
    " from all senders together; the fleet sends no more. Only the leader exports it.",
    "As for `seam_upstream_ceiling`.",
    is_discovery=True,
)
CEILING_AGE = Metric(
    "seam.ceiling.age",
    Form.GAUGE,
    "s",
    ("upstream",),
    _CONTROL,
    "Time since the upstream named its present limit for the first time.",
    "As for `seam_upstream_ceiling`.",
    is_discovery=True,
)
COLD = Metric(
    "seam.cold",
    Form.GAUGE,
    "",
    ("upstream",),
    _CONTROL,
    "Requests per second that a cold upstream gets from all senders together. Only the"
    " leader exports it.",
    "Stays for much longer than an upstream takes to start: it says that it is cold, or"
    " starts again and again.",
    is_discovery=True,
)
COLD_HELD = Metric(
    "seam.cold.held_back",
    Form.COUNTER,
    "",
    ("service",),
    _CONTROL,
    "Requests that couldn't be placed at once while a cold upstream had a free slot.",
    "Grows after each release: too many upstreams are replaced at once.",
    is_discovery=True,
)
EVACUATED = Metric(
    "seam.evacuated",
    Form.GAUGE,
    "",
    ("domain",),
    _CONTROL,
    "1 if the failure domain is evacuated, so that its upstreams get no new work, else"
    " 0. Lists the domains of the configuration and the evacuated ones.",
    "Differs between control VMs for more than a few seconds: look at `seam_applied`."
    " 1 after the work there is over: take it back with `seam-ctl readmit`.",
)
EVACUATED_PLACES = Metric(
    "seam.evacuated.places",
    Form.GAUGE,
    "",
    ("domain",),
    _CONTROL,
    "Requests and items that still run at the discovered upstreams of an evacuated"
    " failure domain. Only the leader exports it.",
    "Stays above 0: long requests; the domain isn't empty yet.",
    is_discovery=True,
)
BULK_ITEMS = Metric(
    "seam.lot.items",
    Form.GAUGE,
    "",
    ("state",),
    _CONTROL,
    "Items of the stored bulk jobs, by `done`, `failed` and `open`.",
    "`open` only grows: online requests leave too few free slots; look at"
    " `seam_places`.",
    is_discovery=True,
)
LEADER = Metric(
    "seam.leader",
    Form.GAUGE,
    "",
    (),
    _CONTROL,
    "1 on the control VM that is leader under a valid lease, else 0.",
    "Sum is 0 for more than a few seconds: there is no quorum, and no change can be"
    " committed. Check which control VMs run.",
)
TERM = Metric(
    "seam.term",
    Form.GAUGE,
    "",
    (),
    _CONTROL,
    "Raft term; rises with each election.",
    "Rises often: leaders fail or lose contact; look at the processor, disk and"
    " network of the control VMs.",
)
APPLIED = Metric(
    "seam.applied",
    Form.GAUGE,
    "",
    (),
    _CONTROL,
    "Index of the newest applied log entry; its rate is the commits per second.",
    "Below the leader's: this control VM lags; don't stop another one.",
)
SYNC = Metric(
    "seam.sync.duration",
    Form.HISTOGRAM,
    "s",
    (),
    _CONTROL,
    "Duration of one sync of the log to disk.",
    "High percentiles above 30 ms: the disk is slow or shared; every change waits"
    " for the sync.",
)
WATCHERS = Metric(
    "seam.watchers",
    Form.GAUGE,
    "",
    ("state",),
    _CONTROL,
    "Processes that opened a watch at this control VM, by `heard` (last contact"
    " within 3 s) and `silent`.",
    "`silent` rises: processes stopped, moved to another control VM, or lost their"
    " connection; `seam-ctl status` lists them.",
)
JOBS = Metric(
    "seam.jobs",
    Form.GAUGE,
    "",
    ("status",),
    _CONTROL,
    "Batch jobs by status.",
    "`in_progress` only grows: too little idle capacity; see `seam-ctl job list`.",
)
ITEMS = Metric(
    "seam.items",
    Form.GAUGE,
    "",
    ("state",),
    _CONTROL,
    "Items of all batch jobs by `done`, `failed` and `open`; the rate of `done` is the"
    " batch throughput.",
    "`failed` rises: look at `seam-ctl job results --failed`.",
)
LEASES = Metric(
    "seam.leases",
    Form.GAUGE,
    "",
    (),
    _CONTROL,
    "Leases on items that agents hold.",
    "0 while items are open: no agent pulls items; look at `seam_running`.",
)

BOUNDED = Metric(
    "seam.client.bounded",
    Form.COUNTER,
    "",
    ("bound",),
    _ALL,
    "Clients that were refused or disconnected, by the bound that they ran into:"
    " `memory`, `head_time`, `body_time`, `answer_time` or `connections`.",
    "Rises: a client misbehaves, or the VM is too small; look up `clients bounded` in"
    ' the log, and see OPERATIONS, "Clients that misbehave".',
)
CLIENT_BYTES = Metric(
    "seam.client.bytes",
    Form.GAUGE,
    "",
    ("state",),
    _ALL,
    "Bytes that a process holds for clients and answers (`held`), and the sum from"
    " which holders must go (`budget`).",
    "`held` stays near `budget`: large requests, slow clients or a small VM; raise"
    " `memory_mb` with the VM's memory, or lower the limit on bodies.",
)
CLIENT_CONNECTIONS = Metric(
    "seam.client.connections",
    Form.GAUGE,
    "",
    (),
    _ALL,
    "Open connections of clients to the HTTP servers of a process.",
    "Near half of the VM's descriptors: new clients displace idle ones; add entries.",
)

METRICS = (
    REQUEST,
    FIRST_TOKEN,
    OPEN_REQUESTS,
    CONFIRMED,
    REVISION,
    EVENTS,
    RUNNING,
    WAITING,
    SLOTS,
    HEALTHY,
    CUT,
    BULK_READS,
    PLACEMENT,
    ENTRY_NUMBER,
    SERVICE_SLOTS,
    EJECTED,
    RESTING,
    REFUSED_SLOTS,
    UPSTREAM_CEILING,
    UPSTREAM_CEILING_AGE,
    CEILING,
    CEILING_AGE,
    COLD,
    COLD_HELD,
    EVACUATED,
    EVACUATED_PLACES,
    BULK_ITEMS,
    LEADER,
    TERM,
    APPLIED,
    SYNC,
    WATCHERS,
    JOBS,
    ITEMS,
    LEASES,
    BOUNDED,
    CLIENT_BYTES,
    CLIENT_CONNECTIONS,
)
_BUCKETS = {
    REQUEST.name: REQUEST_BUCKETS,
    FIRST_TOKEN.name: REQUEST_BUCKETS,
    PLACEMENT.name: REQUEST_BUCKETS,
    SYNC.name: SYNC_BUCKETS,
}

# A value and its labels.
Value = tuple[float, dict[str, str]]
Reader = Callable[[], Iterable[Value]]


class _Registry:
    """The process's instruments and the readers of each gauge and counter."""

    def __init__(self):
        provider = MeterProvider(
            metric_readers=[PrometheusMetricReader(scope_info_enabled=False)]
        )
        self._meter = provider.get_meter("sapphireseam")
        self.readers: dict[str, dict[str, Reader]] = {}
        self.histograms: dict[str, Histogram] = {}
        for item in METRICS:
            self._create(item)

    def _create(self, item: Metric) -> None:
        if item.form is Form.HISTOGRAM:
            self.histograms[item.name] = self._meter.create_histogram(
                item.name,
                item.unit,
                item.text,
                explicit_bucket_boundaries_advisory=_BUCKETS[item.name],
            )
            return
        readers = self.readers[item.name] = {}

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for node, reader in list(readers.items()):
                for value, labels in reader():
                    yield Observation(value, {"node": node, **labels})

        create = self._meter.create_observable_gauge
        if item.form is Form.COUNTER:
            create = self._meter.create_observable_counter
        create(item.name, [observe], item.unit, item.text)


_registry: _Registry | None = None


def _get_registry() -> _Registry:
    """Return the process's only registry; the first call creates it."""
    global _registry
    if _registry is None:
        _registry = _Registry()
    return _registry


class Meter:
    """Record and export the values of one program, as a part of its application."""

    def __init__(self, node: str):
        self._node = node
        self._registry = _get_registry()
        self._registered: list[Metric] = []

    async def start(self) -> None:
        """Do nothing; values are read at each scrape."""

    async def stop(self) -> None:
        """Stop exporting this program's values."""
        for item in self._registered:
            self._registry.readers[item.name].pop(self._node, None)

    def observe(self, item: Metric, seconds: float, **labels: str) -> None:
        """Add one measurement to a histogram."""
        labels["node"] = self._node
        self._registry.histograms[item.name].record(seconds, labels)

    def read_many(self, item: Metric, reader: Reader) -> None:
        """Register a reader that returns values with labels at each scrape."""
        self._registered.append(item)
        self._registry.readers[item.name][self._node] = reader

    def read_ceilings(
        self, reader: Callable[[], Iterable[Ceiling]], clock: Callable[[], float]
    ) -> None:
        """Register a reader of the ceilings; `clock` reads the wall clock."""

        def read_rates() -> list[Value]:
            return [(each.rate, {"upstream": each.upstream}) for each in reader()]

        def read_ages() -> list[Value]:
            now = clock()
            return [
                (max(now - each.since, 0.0), {"upstream": each.upstream})
                for each in reader()
            ]

        self.read_many(CEILING, read_rates)
        self.read_many(CEILING_AGE, read_ages)

    def read(self, item: Metric, reader: Callable[[], float]) -> None:
        """Register a reader that returns one value at each scrape."""
        self.read_many(item, lambda: [(float(reader()), {})])
