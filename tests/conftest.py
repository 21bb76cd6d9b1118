"""Hypothesis profiles: fixed examples in CI, more of them in ``make deep``."""

import os

import hypothesis

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=100, database=None
)
hypothesis.settings.register_profile(
    'deep', deadline=None, max_examples=5000, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
