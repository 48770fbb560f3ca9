"""Responses of upstreams: what is read of them, their limits, and the outcome of an attempt that got one."""

from __future__ import annotations

import httptools

from yardlane.decisions.events import LoadReport, Outcome
from yardlane.errors import MalformedResponse
from yardlane.settings_reader import LOAD_REPORT_FIELDS

MAX_BODY_BYTES = 65_536
MAX_HEAD_BYTES = 16_384
MAX_INTERIM_RESPONSES = 16  # 1xx responses ahead of the final one
MAX_NUMBER_DIGITS = 9  # of Content-Length and Usage-Percent
FIRST_FINAL_STATUS = 200
STATUS_OK = 200
STATUS_SERVICE_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
# With these an upstream's word that the request had no effect counts.
REJECTION_STATUSES = frozenset({STATUS_SERVICE_UNAVAILABLE, STATUS_GATEWAY_TIMEOUT})

LOAD_REPORT_FORMAT = "TEXT"  # what the header's value begins with; figures follow as `name=value, ...`
# The figures of a load report that the decisions use, by their names in the settings and as plain words.
LOAD_METRIC_FIELDS = {**LOAD_REPORT_FIELDS, "inflight": "in_flight", "queue": "queued", "util": "utilization"}
MAX_REQUESTS = 10_000.0
MAX_LOAD_SHARE = 1.5
MAX_LATENCY_MS = 60_000.0
MAX_RATE_PER_S = 1e6
# The most that an upstream can mean by each figure; a greater one is noise.
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
UNKNOWN_METRIC_MAX = -1.0  # no number is as small: an unknown figure is passed over


class UpstreamResponse:
    """The final response to a request."""

    __slots__ = ("body", "content_type", "load_report", "never_ran", "status", "usage_percent")

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.content_type = b""
        self.never_ran = False  # the upstream's word that the request had no effect
        self.usage_percent: int | None = None
        self.load_report: LoadReport | None = None


def outcome_of(response: UpstreamResponse) -> Outcome:
    """The protocol's table of outcomes, for whole responses.

    Status 200 alone is success, and any other status is an error that may have run, 201, 304 and 404 too: the
    table has no row for them. An upstream's word that it never ran the request counts with 503 and 504 only.
    """
    if response.status == STATUS_OK:
        return Outcome.OK
    if response.status in REJECTION_STATUSES and response.never_ran:
        return Outcome.REJECTED
    return Outcome.ERROR  # the request may have run


def parse_load_report(text: bytes) -> LoadReport | None:
    """The figures of a load report; those that are unknown, no numbers or too great are passed over.

    None where no figure is left, which is no report at all. A figure that no rule reads (`qps=4`) still
    counts, as the upstream does report, and by a readable number: it yields a `LoadReport` without figures,
    which the decisions take for a load of 0.
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
    """Reads the responses of one connection: to each request one final response, after any interim ones."""

    def __init__(self) -> None:
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.response = UpstreamResponse()
        self.body_parts: list[bytes] = []
        self.head_bytes = 0
        self.body_bytes = 0
        self.interim_count = 0
        self.is_receiving = False  # a response has begun and is not whole
        self.is_complete = False  # the final response is whole; reset as the next request may be sent
        self.keep_alive = False  # the connection may carry another request after it

    def feed(self, data: bytes) -> None:
        """Read on; raises `MalformedResponse`, also for bytes behind a complete response."""
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__ or error  # what a callback raised is the context of the parser's error
            raise MalformedResponse(str(cause)) from error

    def close(self) -> None:
        """Nothing more is read. The parser and this reader hold each other, which only the GC would end."""
        self.parser = None

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """A response begins."""
        if self.is_complete:
            raise MalformedResponse("more than one response to one request")
        self.response = UpstreamResponse()
        self.body_parts = []
        self.head_bytes = 0
        self.body_bytes = 0
        self.is_receiving = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header of the response; those that mean something here are kept."""
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise MalformedResponse(f"head over {MAX_HEAD_BYTES} bytes")
        key = name.lower()
        if key == b"content-length":
            # A response of gigabytes is refused by its head rather than read up to the limit.
            if len(value) > MAX_NUMBER_DIGITS or int(value) > MAX_BODY_BYTES:
                raise MalformedResponse(f"body over {MAX_BODY_BYTES} bytes")
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
        """A part of the body."""
        self.body_bytes += len(body)
        if self.body_bytes > MAX_BODY_BYTES:
            raise MalformedResponse(f"body over {MAX_BODY_BYTES} bytes")
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        """The response is whole."""
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
        self.keep_alive = self.parser.should_keep_alive()  # the parser answers this within this call only

    def _count_interim(self) -> None:
        """Interim responses without end would hold the attempt until its deadline."""
        self.interim_count += 1
        if self.interim_count > MAX_INTERIM_RESPONSES:
            raise MalformedResponse(f"more than {MAX_INTERIM_RESPONSES} interim responses")
