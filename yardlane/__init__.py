"""An HTTP front door (reverse proxy).

Many copies run side by side, forward to the same backends and together keep each tenant to its quota.
"""

__version__ = "0.2.0"
