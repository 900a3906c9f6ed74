"""Sphinx configuration."""

from __future__ import annotations

project = 'limeshelf'
author = 'the limeshelf developers'
extensions = ['myst_parser']
source_suffix = {'.rst': 'restructuredtext', '.md': 'markdown'}
exclude_patterns = ['_build']
html_theme = 'alabaster'
myst_enable_extensions = ['deflist']
myst_heading_anchors = 3
