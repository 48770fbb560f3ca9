"""The exception classes of this package."""


class YardlaneError(Exception):
    """Base class of all errors of this package. The message says what is wrong and where."""

    def one_line(self) -> str:
        """Return the message on one line: values that it quotes may contain line breaks."""
        return " ".join(str(self).split())


class SettingsError(YardlaneError):
    """Settings are missing, cannot be parsed, or have a value out of range."""


class ConfigError(YardlaneError):
    """The configuration is invalid. The message names the value and the reason."""


class CodecError(YardlaneError):
    """Input does not follow the simulator's wire format."""


class MessageTooLong(YardlaneError):
    """An HTTP message has too many bytes besides its body: in its head, its trailer or its chunk sizes."""


class MalformedResponse(YardlaneError):
    """An upstream sent bytes that are not an HTTP response, or a response that exceeds a limit."""


class ClientProtocolError(YardlaneError):
    """A client violated the protocol.

    `status`, `text` (the body) and `header_lines` make up the response to the client. `header_lines` contains
    complete header lines, each with its line ending.
    """

    def __init__(self, status: int, text: str, header_lines: bytes = b"") -> None:
        super().__init__(text)
        self.status = status
        self.text = text
        self.header_lines = header_lines


class InvalidRequest(ClientProtocolError):
    """A correctly framed request is not accepted (status 400, 405 or 409). Its connection stays usable."""


class FatalRequestError(ClientProtocolError):
    """A client sent bytes that are not HTTP, exceeded a limit, or sent a request too slowly.

    The connection closes after the error response.
    """


class DiscoveryError(YardlaneError):
    """A poll of discovery returned no endpoint list, although the connection did not fail."""


class DiscoveryUnreachable(YardlaneError):
    """The connection to discovery timed out or ended before a complete response arrived.

    This says nothing about the endpoint list, so the version that this process has is still valid.
    """


class MalformedEndpointList(DiscoveryError):
    """A response is not an endpoint list, or does not follow from the previous list."""


class MalformedEndpoint(YardlaneError):
    """An entry of an endpoint list, or a value in an entry, cannot be parsed."""


class MalformedCounterReply(YardlaneError):
    """A line from the counter is not a reply to the oldest call that waits for one."""

    def __init__(self, line: bytes) -> None:
        super().__init__(f"malformed reply {line!r}")
