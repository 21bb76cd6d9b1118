"""Writes a variant of a site file for tests, with stored jobs only.

Jobs that the site file marks with ``loose = true`` are not stored.

    python3 deploy/make_variant.py SITE.toml COPY.toml [STEPS]

STEPS is the mean number of steps of a job, 1 by default. The site's wire.json
must be in the directory of the copy.
"""

import pathlib
import re
import sys


def make_variant(text: str, steps: int) -> str:
    """Return the contents of the site file with the variant's settings."""
    with_stored_jobs = text.replace('loose = true', 'loose = false')
    return re.sub(
        r'steps = \{ mean = \d+',
        f'steps = {{ mean = {steps}',
        with_stored_jobs,
    )


def main(argv: list[str]) -> None:
    """Read the site file and write the copy."""
    source, target = map(pathlib.Path, argv[1:3])
    steps = int(argv[3]) if len(argv) > 3 else 1
    target.write_text(make_variant(source.read_text(), steps))


if __name__ == '__main__':
    main(sys.argv)
