"""Units of time that the edges convert between. The decisions have their own, as they import nothing."""

MS_PER_S = 1_000
US_PER_MS = 1_000
US_PER_S = 1_000_000
