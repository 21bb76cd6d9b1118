"""Number of examples that property-based tests run."""

import os

import hypothesis

#: Ratio of the number of examples in ``make deep`` to that in ``make test``.
DEEP_FACTOR = 50


def settings(max_examples: int = 100) -> hypothesis.settings:
    """Return settings with ``max_examples`` in CI, or more in ``make deep``."""
    is_deep = os.environ.get('HYPOTHESIS_PROFILE') == 'deep'
    factor = DEEP_FACTOR if is_deep else 1
    return hypothesis.settings(max_examples=max_examples * factor)
