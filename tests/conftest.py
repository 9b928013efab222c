"""Hypothesis profiles of all tests."""

from __future__ import annotations

import os

from hypothesis import settings

settings.register_profile('ci', derandomize=True, deadline=None, max_examples=100, database=None)
settings.register_profile('fuzz', deadline=None, max_examples=2000)
settings.load_profile(os.environ.get('CASSIAHITCH_HYPOTHESIS_PROFILE', 'ci'))
