"""An HTTP front door: many copies share a tier of backends and keep each tenant to its quota."""

__version__ = "0.2.0"
