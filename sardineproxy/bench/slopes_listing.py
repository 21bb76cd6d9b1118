"""Slopes of a VM in the list: bytes, decoding, memory, and a change of it."""

import dataclasses
import json
import random

from sardineproxy import json_text
from sardineproxy.bench import slopes_fit, slopes_samples
from sardineproxy.process import listing, components, platform

#: The last one is the target's number of workers.
VMS = (100, 1000, 9700)
ZONES = 13


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    for name, weigh in (
        ('listing.json', _weigh_json),
        ('listing.for_peers', _weigh_for_peers),
        ('listing.memory', _weigh),
        ('listing.decode_peak', _weigh_decode),
    ):
        out.add(slopes_fit.measure(name, 'B/VM', weigh, VMS, repeats=1))
    for name, cost in (
        ('listing.decode', _time_decode),
        ('listing.decode_from_peer', _time_decode_from_peer),
        ('listing.encode_for_peers', _time_encode),
        ('listing.use', _time_use),
    ):
        out.add(slopes_fit.measure(name, 'us/VM', cost, VMS, repeats=3))


def _make(count: int) -> platform.VmList:
    """Return a list whose names and addresses compress like real ones."""
    rng = random.Random(count)
    return slopes_samples.listing(
        *(
            dataclasses.replace(
                vm,
                name=f'worker-{rng.randrange(16**8):08x}',
                host=f'10.{rng.randrange(256)}.{rng.randrange(256)}.{number % 256}',
            )
            for number, vm in enumerate(
                slopes_samples.endpoints(count, zones=ZONES)
            )
        )
    )


def _render(count: int) -> str:
    document = listing.to_document(_make(count))
    return json.dumps(document, separators=(',', ':'))


def _weigh_json(count: int) -> float:
    return len(_render(count))


def _weigh_for_peers(count: int) -> float:
    return len(listing.encode(_make(count)))


def _decode(text: str) -> platform.VmList:
    """Do what the platform's client does with the list's text."""
    return (
        json_text.parse_object(
            text, max_bytes=listing.MAX_LIST_BYTES, comments=False
        )
        .and_then(listing.from_document)
        .unwrap()
    )


def _time_decode(count: int) -> float:
    text = _render(count)
    return slopes_fit.cpu_us(lambda: _decode(text))


def _time_decode_from_peer(count: int) -> float:
    payload = listing.encode(_make(count))
    return slopes_fit.cpu_us(lambda: listing.decode(payload).unwrap())


def _time_encode(count: int) -> float:
    made = _make(count)
    return slopes_fit.cpu_us(lambda: listing.encode(made))


def _time_use(count: int) -> float:
    """Return the cost for directory, routing and health estimates."""
    built = _build_parts()
    built.directory.offer(_make(count))
    newer = _make(count)
    return slopes_fit.cpu_us(lambda: built.directory.offer(newer))


def _weigh(count: int) -> float:
    """Return the memory of the list and of all that is kept for each VM."""
    text = _render(count)
    built = _build_parts()

    def take() -> components.Components:  # noqa: WPS430
        built.directory.offer(_decode(text))
        return built

    return slopes_fit.heap_bytes(take)


def _weigh_decode(count: int) -> float:
    """Return the most memory at once while the list's text is decoded."""
    text = _render(count)
    return slopes_fit.heap_peak_bytes(lambda: _decode(text))


def _build_parts() -> components.Components:
    """Return all parts of an entry process, of which none runs."""
    return components.build(
        cfg=slopes_samples.entry_settings(),
        dependencies=components.Dependencies(
            clock=slopes_samples.system_clock(),
            rng=random.Random(1),
            platform=slopes_samples.MemoryPlatform(
                vm_list=slopes_samples.listing(), contracts={}
            ),
        ),
    )
