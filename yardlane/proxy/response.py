"""Parses the responses of upstreams, enforces limits on them, and maps each to the outcome of its attempt."""

from __future__ import annotations

import httptools

from yardlane.decisions.events import LoadReport, Outcome
from yardlane.errors import MalformedResponse, MessageTooLong
from yardlane.proxy.message_body import MAX_BODY_BYTES, Body, append_part
from yardlane.proxy.message_meter import MAX_HEAD_BYTES, MAX_PART_BYTES, MessageMeter, parts_of
from yardlane.proxy.request_headers import CONTENT_LENGTH, TRANSFER_ENCODING
from yardlane.proxy.response_framing import ResponseFraming
from yardlane.settings_reader import LOAD_REPORT_FIELDS

# A response that exceeds this limit, `MAX_BODY_BYTES` or a limit of `MessageMeter` is malformed: its attempt
# ends as CONNECTION_LOST.
MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final one
# A longer load report is ignored. Parsing one takes up to a microsecond for each byte.
MAX_LOAD_REPORT_BYTES = 1_024

MAX_NUMBER_DIGITS = 9  # a longer Content-Length is malformed, a longer Usage-Percent is ignored
FIRST_FINAL_STATUS = 200
STATUS_OK = 200
STATUS_SERVICE_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
# Only with these statuses does the proxy believe an upstream that says it never ran the request.
REJECTION_STATUSES = frozenset({STATUS_SERVICE_UNAVAILABLE, STATUS_GATEWAY_TIMEOUT})

# The value of Endpoint-Load-Metrics may begin with this; the metrics follow as `name=value, ...`.
LOAD_REPORT_FORMAT = "TEXT"
# Maps the metrics that the decisions use to `LoadReport` fields. A metric is accepted by its name in the
# settings and by a second, plain name; if a report has both, the last one counts.
LOAD_METRIC_FIELDS = {**LOAD_REPORT_FIELDS, "inflight": "in_flight", "queue": "queued", "util": "utilization"}
MAX_REPORTED_REQUESTS = 10_000.0
MAX_REPORTED_LOAD_SHARE = 1.5
MAX_REPORTED_LATENCY_MS = 60_000.0
MAX_REPORTED_RATE_PER_S = 1e6
# The largest plausible value of each metric. Greater values are ignored as invalid.
MAX_METRIC_VALUES = {
    "concurrent": MAX_REPORTED_REQUESTS,
    "inflight": MAX_REPORTED_REQUESTS,
    "depth": MAX_REPORTED_REQUESTS,
    "queue": MAX_REPORTED_REQUESTS,
    "load_share": MAX_REPORTED_LOAD_SHARE,
    "util": MAX_REPORTED_LOAD_SHARE,
    "mean_ms": MAX_REPORTED_LATENCY_MS,
    "latency_ms": MAX_REPORTED_LATENCY_MS,
    "tps": MAX_REPORTED_RATE_PER_S,
    "qps": MAX_REPORTED_RATE_PER_S,
    "err_ps": MAX_REPORTED_RATE_PER_S,
    "eps": MAX_REPORTED_RATE_PER_S,
}
UNKNOWN_METRIC_MAX = -1.0  # below every valid value, so that unknown metrics are ignored


class UpstreamResponse:
    """A response to a request; the proxy uses only the final one."""

    __slots__ = ("body", "content_type", "load_report", "never_ran", "status", "usage_percent")

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.content_type = b""
        self.never_ran = False  # the upstream says that it did not run the request
        self.usage_percent: int | None = None
        self.load_report: LoadReport | None = None


NO_RESPONSE = UpstreamResponse()


def outcome_of(response: UpstreamResponse) -> Outcome:
    """Return the outcome of an attempt that got this complete response.

    Only status 200 is a success. 503 and 504 are a rejection if the upstream says that it never ran the
    request. Any other response, including 201, 304 and 404, for which the protocol has no rule, is an error
    after which the request may have run.
    """
    if response.status == STATUS_OK:
        return Outcome.OK
    if response.status in REJECTION_STATUSES and response.never_ran:
        return Outcome.REJECTED
    return Outcome.ERROR  # the request may have run


def parse_load_report(text: bytes) -> LoadReport | None:
    """Return the metrics of a load report, or None if it has no valid metric or is too long.

    Metrics that are unknown, not numeric, negative or too great are ignored. A valid metric that the
    decisions do not use (`qps=4`) still counts, because it shows that the upstream reports its load. Alone,
    it gives a `LoadReport` without values, which the decisions take for a load of 0.
    """
    if len(text) > MAX_LOAD_REPORT_BYTES:
        return None
    has_valid_metric = False
    values: dict[str, float] = {}
    for part in text.decode("latin-1").removeprefix(LOAD_REPORT_FORMAT).split(","):
        name, _, value = part.partition("=")
        name = name.strip()
        try:
            number = float(value)
        except ValueError:
            continue
        if 0 <= number <= MAX_METRIC_VALUES.get(name, UNKNOWN_METRIC_MAX):
            has_valid_metric = True
            field = LOAD_METRIC_FIELDS.get(name)
            if field is not None:
                values[field] = number
    return LoadReport(**values) if has_valid_metric else None


class ResponseReader:
    """Parses the responses on one connection: one final response per request, after any interim ones."""

    def __init__(self) -> None:
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.response = NO_RESPONSE  # until a response begins
        self.body: Body = b""
        self.head_bytes = 0  # of the names and values of all headers
        self._meter = MessageMeter()
        self._framing = ResponseFraming()
        self.interim_count = 0
        self.is_receiving = False  # a response has begun and is not complete
        self.is_complete = False  # the final response is complete; see `forget_response`
        self.keep_alive = False  # whether the connection can be reused after the final response

    def feed(self, data: bytes) -> None:
        """Parse further received bytes.

        Raises `MalformedResponse` if they are not valid HTTP, exceed a limit, follow a complete response or
        change to another protocol.
        """
        parser = self.parser
        assert parser is not None
        try:
            for part in (data,) if len(data) <= MAX_PART_BYTES else parts_of(data):
                parser.feed_data(part)
                if self.is_receiving or not self._meter.has_boundary:  # most responses are complete here
                    self._meter.count(len(part), self.head_bytes, len(self.body))
        except MessageTooLong as error:
            raise MalformedResponse(str(error)) from error
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__ or error  # an exception from a callback is the context of this error
            raise MalformedResponse(str(cause)) from error

    def end_connection(self) -> None:
        """Complete the response if its body ends with the connection, which the upstream has closed in order.

        Otherwise do nothing: the response is incomplete for good.
        """
        if self._framing.ends_with_connection():
            self.on_message_complete()
            self.keep_alive = False

    def forget_response(self) -> None:
        """Drop the final response, which has been passed on, and accept the response to the next request."""
        self.is_complete = False
        self.response = NO_RESPONSE

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
        self._meter.has_boundary = True
        self._framing.has_framing_header = False
        self.response = UpstreamResponse()
        self.body = b""
        self.head_bytes = 0
        self.is_receiving = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called for each header; keeps those that the proxy uses.

        Raises `MalformedResponse` if the head or the announced body exceeds its limit.
        """
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise MalformedResponse(f"response head over {MAX_HEAD_BYTES} bytes")
        key = name.lower()
        if key == CONTENT_LENGTH:
            self._framing.has_framing_header = True
            # Refuse a huge response by its head, rather than after reading its body up to the limit.
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
        elif key == TRANSFER_ENCODING:
            self._framing.has_framing_header = True

    def on_headers_complete(self) -> None:
        """Called at the end of a head."""
        self._framing.is_in_body = True

    def on_body(self, body: bytes) -> None:
        """Called for each part of the body; raises `MalformedResponse` if the body exceeds its limit."""
        self.body = append_part(self.body, body)
        if len(self.body) > MAX_BODY_BYTES:
            raise MalformedResponse(f"response body over {MAX_BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Called when a response is complete; stores it if it is the final one."""
        assert self.parser is not None
        self._meter.has_boundary = True
        self._framing.is_in_body = False
        self.is_receiving = False
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self._count_interim()
            return
        self.response.status = status
        self.response.body = bytes(self.body)
        self.body = b""
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
