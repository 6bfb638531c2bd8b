"""Counters, histograms and gauges in the exposition format, served on their own address.

``prometheus_client`` is imported on first use, so that programs without metrics don't load it.
"""

from collections.abc import Callable

from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import SettingsError
from rowanrail.kernel.http import HttpRequest, HttpResponse, HttpServer, error_response, serve

LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
RETRY_AFTER_BUCKETS_SECONDS = (0.1, 0.2, 0.4, 0.8, 1.6, 3.0, 6.0)
MAXIMUM_URGENCY_LABEL = 3  # bounds the number of label values; also counts all less urgent ones
CONTENT_TYPE = "text/plain; version=0.0.4"

GaugeSample = tuple[str, dict[str, str], float]
GaugeReader = Callable[[], list[GaugeSample]]


class Metrics:
    """The metrics of one process.

    :param prefix: prefix of the name of each metric.
    :param read: returns name, labels and value of each gauge; called on each scrape.
    """

    def __init__(self, prefix: str, read: GaugeReader) -> None:
        from prometheus_client import CollectorRegistry, Counter, Histogram

        self._prefix = prefix
        self._read_gauges = read
        self._registry = CollectorRegistry()
        self._outcomes = Counter(
            f"{prefix}_statements",
            "Statements answered, by kind, outcome and how far they came",
            ["kind", "outcome", "stage"],
            registry=self._registry,
        )
        self._latency = Histogram(
            f"{prefix}_statement_seconds",
            "Time from a statement to its answer, by kind",
            ["kind"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )

        self._rejections = Counter(
            f"{prefix}_turned_away",
            "Statements refused as not run, by cause and urgency of their route",
            ["cause", "urgency"],
            registry=self._registry,
        )
        self._retry_after = Histogram(
            f"{prefix}_return_seconds",
            "Time after which clients were told to come back, by cause",
            ["cause"],
            buckets=RETRY_AFTER_BUCKETS_SECONDS,
            registry=self._registry,
        )

    def record_rejection(self, cause: str, urgency: int, retry_after_ms: float) -> None:
        """Count a rejected statement and the retry delay given to its client."""
        self._rejections.labels(cause, str(min(max(urgency, 0), MAXIMUM_URGENCY_LABEL))).inc()
        self._retry_after.labels(cause).observe(retry_after_ms / 1000)

    def record_statement(self, kind: str, outcome: str, stage: str, seconds: float) -> None:
        """Count a statement and its duration; ``stage`` is the last one that it reached."""
        self._outcomes.labels(kind, outcome, stage).inc()
        self._latency.labels(kind).observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the exposition format."""
        from prometheus_client import CollectorRegistry, Gauge, generate_latest

        registry = CollectorRegistry()
        gauges: dict[str, Gauge] = {}
        for name, labels, value in self._read_gauges():
            full_name = f"{self._prefix}_{name}"
            if full_name not in gauges:
                gauges[full_name] = Gauge(
                    full_name, name.replace("_", " "), list(labels), registry=registry
                )
            gauge = gauges[full_name]
            (gauge.labels(**labels) if labels else gauge).set(value)
        rendered: bytes = generate_latest(self._registry) + generate_latest(registry)
        return rendered


def dropped_lines_gauge(decisions: DecisionLog) -> GaugeSample:
    """Return the gauge of lines that the decision log has dropped since the start."""
    return ("log_lines_left_out", {}, decisions.dropped_total)


async def serve_metrics(host: str, port_and_path: str, metrics: Metrics) -> HttpServer:
    """Serve metrics at ``PORT/PATH`` of a host.

    :raises SettingsError: if ``port_and_path`` does not have that form.
    """
    port, _, path = port_and_path.partition("/")
    if not port.isdigit():
        raise SettingsError(
            [f"metrics: {port_and_path!r} is not PORT/PATH; write for example 9100/metrics"]
        )

    async def handle(request: HttpRequest) -> HttpResponse:
        if request.method != "GET" or request.path != f"/{path}":
            return error_response(404, f"ask GET /{path}")
        return HttpResponse(200, metrics.render(), CONTENT_TYPE)

    return await serve(f"{host}:{port}", handle)
