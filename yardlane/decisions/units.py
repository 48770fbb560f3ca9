"""Units of time for the decisions. All times are whole microseconds of the gateway's own clock.

Most rules only need a clock that never goes back. Two rules need a clock that agrees with Unix time, and thus
with the clocks of the other gateways: the periods of counts (`counter_polling.py`) and slow start
(`slow_start.py`). Both modules describe what happens if it does not. `proxy/clock.py` sets the clock to Unix
time when the process starts.
"""

SECOND_US = 1_000_000
NEVER_US = -1  # the time of an event that has not happened yet; earlier than any time of a clock
