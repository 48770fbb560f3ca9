"""Parses the responses of upstreams, enforces limits on them, and maps each to the outcome of its attempt."""

from __future__ import annotations

import httptools

from yardlane.decisions.events import LoadReport, Outcome
from yardlane.errors import MalformedResponse
from yardlane.settings_reader import LOAD_REPORT_FIELDS

MAX_BODY_BYTES = 65_536
MAX_HEAD_BYTES = 16_384
MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final one
MAX_NUMBER_DIGITS = 9  # in the values of Content-Length and Usage-Percent
FIRST_FINAL_STATUS = 200
STATUS_OK = 200
STATUS_SERVICE_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
# Only with these statuses does the proxy believe an upstream that says it never ran the request.
REJECTION_STATUSES = frozenset({STATUS_SERVICE_UNAVAILABLE, STATUS_GATEWAY_TIMEOUT})

LOAD_REPORT_FORMAT = "TEXT"  # the header's value begins with this; metrics follow as `name=value, ...`
# Maps the metrics that the decisions use to `LoadReport` fields. A metric is accepted by its name in the
# settings and by a second, plain name.
LOAD_METRIC_FIELDS = {**LOAD_REPORT_FIELDS, "inflight": "in_flight", "queue": "queued", "util": "utilization"}
MAX_REQUESTS = 10_000.0
MAX_LOAD_SHARE = 1.5
MAX_LATENCY_MS = 60_000.0
MAX_RATE_PER_S = 1e6
# The largest plausible value of each metric. Greater values are ignored as invalid.
MAX_METRIC_VALUES = {
    "concurrent": MAX_REQUESTS,
    "inflight": MAX_REQUESTS,
    "depth": MAX_REQUESTS,
    "queue": MAX_REQUESTS,
    "load_share": MAX_LOAD_SHARE,
    "util": MAX_LOAD_SHARE,
    "mean_ms": MAX_LATENCY_MS,
    "latency_ms": MAX_LATENCY_MS,
    "tps": MAX_RATE_PER_S,
    "qps": MAX_RATE_PER_S,
    "err_ps": MAX_RATE_PER_S,
    "eps": MAX_RATE_PER_S,
}
UNKNOWN_METRIC_MAX = -1.0  # below every valid value, so that unknown metrics are ignored


class UpstreamResponse:
    """The final response to a request."""

    __slots__ = ("body", "content_type", "load_report", "never_ran", "status", "usage_percent")

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.content_type = b""
        self.never_ran = False  # the upstream says that it did not run the request
        self.usage_percent: int | None = None
        self.load_report: LoadReport | None = None


def outcome_of(response: UpstreamResponse) -> Outcome:
    """Return the outcome of an attempt that got this complete response, following the protocol's table.

    Only status 200 is a success. Any other status, including 201, 304 and 404, for which the table has no
    row, is an error after which the request may have run. An upstream's statement that it never ran the
    request is believed only with 503 and 504.
    """
    if response.status == STATUS_OK:
        return Outcome.OK
    if response.status in REJECTION_STATUSES and response.never_ran:
        return Outcome.REJECTED
    return Outcome.ERROR  # the request may have run


def parse_load_report(text: bytes) -> LoadReport | None:
    """Return the metrics of a load report, or None if it has no valid metric.

    Metrics that are unknown, not numeric, negative or too great are ignored. A valid metric that the
    decisions do not use (`qps=4`) still counts, because it shows that the upstream reports its load. Alone,
    it gives a `LoadReport` without values, which the decisions take for a load of 0.
    """
    metrics: dict[str, float] = {}
    for part in text.decode("latin-1").removeprefix(LOAD_REPORT_FORMAT).split(","):
        name, _, value = part.partition("=")
        name = name.strip()
        try:
            number = float(value)
        except ValueError:
            continue
        if 0 <= number <= MAX_METRIC_VALUES.get(name, UNKNOWN_METRIC_MAX):
            metrics[name] = number
    if not metrics:
        return None
    return LoadReport(
        **{LOAD_METRIC_FIELDS[name]: number for name, number in metrics.items() if name in LOAD_METRIC_FIELDS}
    )


class ResponseReader:
    """Parses the responses on one connection: one final response per request, after any interim ones."""

    def __init__(self) -> None:
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.response = UpstreamResponse()
        self.body_parts: list[bytes] = []
        self.head_bytes = 0
        self.body_bytes = 0
        self.interim_count = 0
        self.is_receiving = False  # a response has begun and is not complete
        self.is_complete = False  # the final response is complete; the connection resets this for reuse
        self.keep_alive = False  # whether the connection can be reused after the final response

    def feed(self, data: bytes) -> None:
        """Parse further received bytes.

        Raises `MalformedResponse` if they are not valid HTTP, exceed a limit or follow a complete response.
        """
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__ or error  # an exception from a callback is the context of this error
            raise MalformedResponse(str(cause)) from error

    def close(self) -> None:
        """Release the parser; no more bytes may be fed.

        The parser and this reader refer to each other. Without this, only the garbage collector could free
        them.
        """
        self.parser = None

    # Called by the parser

    def on_message_begin(self) -> None:
        """Called when a response begins; raises `MalformedResponse` if the final one is already complete."""
        if self.is_complete:
            raise MalformedResponse("more than one response to a request")
        self.response = UpstreamResponse()
        self.body_parts = []
        self.head_bytes = 0
        self.body_bytes = 0
        self.is_receiving = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called for each header; keeps those that the proxy uses.

        Raises `MalformedResponse` if the head or the announced body exceeds its limit.
        """
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise MalformedResponse(f"response head over {MAX_HEAD_BYTES} bytes")
        key = name.lower()
        if key == b"content-length":
            # Reject a huge response by its head, rather than after reading its body up to the limit.
            if len(value) > MAX_NUMBER_DIGITS or int(value) > MAX_BODY_BYTES:
                raise MalformedResponse(f"Content-Length announces a body over {MAX_BODY_BYTES} bytes")
        elif key == b"endpoint-load-metrics":
            self.response.load_report = parse_load_report(value)
        elif key == b"usage-percent":
            is_number = value.isdigit() and len(value) <= MAX_NUMBER_DIGITS
            self.response.usage_percent = int(value) if is_number else None
        elif key == b"x-never-ran":
            self.response.never_ran = value.strip() == b"1"
        elif key == b"content-type":
            self.response.content_type = value

    def on_body(self, body: bytes) -> None:
        """Called for each part of the body; raises `MalformedResponse` if the body exceeds its limit."""
        self.body_bytes += len(body)
        if self.body_bytes > MAX_BODY_BYTES:
            raise MalformedResponse(f"response body over {MAX_BODY_BYTES} bytes")
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        """Called when a response is complete; stores it if it is the final one."""
        assert self.parser is not None
        self.is_receiving = False
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self._count_interim()
            return
        self.response.status = status
        self.response.body = b"".join(self.body_parts)
        self.interim_count = 0
        self.is_complete = True
        self.keep_alive = self.parser.should_keep_alive()  # valid only during this callback

    def _count_interim(self) -> None:
        """Count an interim response; raises `MalformedResponse` if there are too many.

        Endless interim responses would otherwise keep the attempt open until its deadline.
        """
        self.interim_count += 1
        if self.interim_count > MAX_INTERIM_RESPONSES:
            raise MalformedResponse(f"more than {MAX_INTERIM_RESPONSES} interim responses")
