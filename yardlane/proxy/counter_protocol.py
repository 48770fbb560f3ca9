"""The text format of calls to the shared quota counter, and of its replies. It is defined only here.

Each call is one line, and so is each reply. The key of a `tally` call is a hexadecimal number.

    tally <key> <amount> <lifetime in ms>  ->  ok <total>     the amount was added
                                               busy           the amount was not added
                                               error <text>   the amount was not added
    ping                                   ->  pong
"""

from __future__ import annotations

import math
import re
from typing import NamedTuple

from yardlane.decisions.actions import AddToCounter
from yardlane.decisions.events import Outcome
from yardlane.errors import MalformedCounterReply
from yardlane.units import US_PER_MS

PING = b"ping\r\n"
# The format of a total. It is checked because float() also accepts other forms, such as `1_0` and `nan`.
TOTAL_PATTERN = re.compile(rb"-?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,3})?")
# At most this many bytes of a line are written to the log.
MAX_LOGGED_BYTES = 80


def format_add(action: AddToCounter) -> bytes:
    """Return the line of a `tally` call.

    The amount is rounded to nine significant digits, and the lifetime up to whole milliseconds, at least 1.
    """
    lifetime_ms = max(1, math.ceil(action.lifetime_us / US_PER_MS))
    amount = f"{action.amount:.9g}".encode()
    return b"tally %x %s %d\r\n" % (action.counter_key, amount, lifetime_ms)


class CounterReply(NamedTuple):
    """A parsed reply to a `tally` call.

    `total` is valid only if the outcome is OK. `is_error` says whether the reply was `error` and not `busy`.
    """

    outcome: Outcome
    total: float = 0.0
    is_error: bool = False


def parse_reply(line: bytes) -> CounterReply:
    """Parse the reply to a `tally` call. Raises MalformedCounterReply if the line is not such a reply."""
    words = line.split()
    if words == [b"busy"]:
        return CounterReply(Outcome.REJECTED)
    if words[:1] == [b"error"]:
        return CounterReply(Outcome.REJECTED, is_error=True)
    if len(words) == 2 and words[0] == b"ok" and TOTAL_PATTERN.fullmatch(words[1]):
        total = float(words[1])
        if math.isfinite(total):
            return CounterReply(Outcome.OK, total)
    raise MalformedCounterReply(line[:MAX_LOGGED_BYTES])


def check_pong(line: bytes) -> None:
    """Raise MalformedCounterReply if the line is not the reply to a ping."""
    if line.split() != [b"pong"]:
        raise MalformedCounterReply(line[:MAX_LOGGED_BYTES])
