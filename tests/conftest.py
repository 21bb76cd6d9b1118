"""Hypothesis profiles: fixed examples in CI, random ones in ``make deep``."""

import os

import hypothesis

# Suppressed because it fails on a machine under load.
LOAD_DEPENDENT_CHECKS = (hypothesis.HealthCheck.too_slow,)

hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=LOAD_DEPENDENT_CHECKS,
)
hypothesis.settings.register_profile(
    'deep',
    deadline=None,
    print_blob=True,
    suppress_health_check=LOAD_DEPENDENT_CHECKS,
)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
