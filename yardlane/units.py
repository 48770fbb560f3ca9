"""Conversion factors between units of time and of size, for all parts of the package except the decisions.

The decisions import nothing from the rest of the package but its errors, so they define their own units.
"""

MS_PER_S = 1_000
US_PER_MS = 1_000
US_PER_S = 1_000_000
BYTES_PER_MB = 1_000_000
