"""Write a copy of a site file whose jobs are stored ones, for trials.

    python3 deploy/make_variant.py SITE.toml COPY.toml [STEPS]

STEPS is the mean number of steps of a job. The site's wire.json must lie
beside the copy.
"""

import pathlib
import re
import sys


def make_variant(text: str, steps: int) -> str:
    """Return the site's text with stored jobs of ``steps`` steps."""
    stored = text.replace('loose = true', 'loose = false')
    return re.sub(
        r'steps = \{ mean = \d+', f'steps = {{ mean = {steps}', stored
    )


def main(argv: list[str]) -> None:
    """Read the site file and write the copy."""
    source, target = map(pathlib.Path, argv[1:3])
    steps = int(argv[3]) if len(argv) > 3 else 1
    target.write_text(make_variant(source.read_text(), steps))


if __name__ == '__main__':
    main(sys.argv)
