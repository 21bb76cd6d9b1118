"""How many examples a property-based test tries."""

import os

import hypothesis

#: ``make deep`` tries so many times the examples of ``make test``.
DEEP_FACTOR = 50


def settings(max_examples: int = 100) -> hypothesis.settings:
    """Return the profile's settings with a number of examples for CI."""
    deep = os.environ.get('HYPOTHESIS_PROFILE') == 'deep'
    factor = DEEP_FACTOR if deep else 1
    return hypothesis.settings(max_examples=max_examples * factor)
