"""Hypothesis profiles: fixed examples in CI, more of them in ``make deep``."""

import os

import hypothesis

# Whether generation is "too slow" depends on the machine's load.
LOAD_DEPENDENT = (hypothesis.HealthCheck.too_slow,)

hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=LOAD_DEPENDENT,
)
hypothesis.settings.register_profile(
    'deep',
    deadline=None,
    print_blob=True,
    suppress_health_check=LOAD_DEPENDENT,
)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
