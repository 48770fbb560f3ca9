"""The headers of clients' requests that the proxy reads, in lower case, and how each of them is treated."""

from __future__ import annotations

# Of requests and responses.
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
FRAMING_HEADERS = frozenset((CONTENT_LENGTH, TRANSFER_ENCODING))
EXPECT = b"expect"
# The headers that describe a request. `request_validation` checks them and fills in `ParsedRequest`.
TRACE_ID_HEADER = b"x-trace-id"
REQUEST_CLASS_HEADER = b"x-qos"
QUOTA_PLAN_HEADER = b"plan"
TENANT_HEADER = b"account"
EXPIRES_IN_HEADER = b"x-expires-in"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
QUOTA_INFO_HEADER = b"quota-info"
RETRY_HEADER = b"x-second-try"
HOST_HEADER = b"host"
# Headers that a request may contain only once.
SINGLETON_HEADERS = frozenset(
    (
        TRACE_ID_HEADER,
        REQUEST_CLASS_HEADER,
        QUOTA_PLAN_HEADER,
        TENANT_HEADER,
        EXPIRES_IN_HEADER,
        IDEMPOTENCY_KEY_HEADER,
        QUOTA_INFO_HEADER,
        RETRY_HEADER,
        HOST_HEADER,
    )
)
# Headers that apply only to the client's connection. They are not forwarded, and neither is
# EXPIRES_IN_HEADER, which the proxy writes itself.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        TRANSFER_ENCODING,
        b"upgrade",
        CONTENT_LENGTH,
        EXPECT,
    )
)
