"""limeshelf serves hundreds of models on fewer accelerators."""

from __future__ import annotations

__version__ = '0.1.0'
