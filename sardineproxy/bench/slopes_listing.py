"""Slopes of a VM in the VM list: size, coding, memory and updates."""

import dataclasses
import json
import random

from sardineproxy import json_text
from sardineproxy.bench import slopes_fit, slopes_samples
from sardineproxy.process import listing, components, platform

#: The last count is the number of workers that the system is designed for.
VM_COUNTS = (100, 1000, 9700)
ZONE_COUNT = 13


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    for name, measure_bytes in (
        ('listing.json', _measure_json_bytes),
        ('listing.for_peers', _measure_peer_bytes),
        ('listing.memory', _measure_memory),
        ('listing.decode_peak', _measure_decode_peak),
    ):
        out.add(
            slopes_fit.measure_slope(
                name, 'B/VM', measure_bytes, VM_COUNTS, repeats=1
            )
        )
    for name, time_operation in (
        ('listing.decode', _time_decode),
        ('listing.decode_from_peer', _time_decode_from_peer),
        ('listing.encode_for_peers', _time_encode),
        ('listing.use', _time_apply),
    ):
        out.add(
            slopes_fit.measure_slope(
                name, 'us/VM', time_operation, VM_COUNTS, repeats=3
            )
        )


def _make_vm_list(count: int) -> platform.VmList:
    """Return a VM list whose names and addresses compress like real ones."""
    rng = random.Random(count)
    return slopes_samples.make_vm_list(
        *(
            dataclasses.replace(
                vm,
                name=f'worker-{rng.randrange(16**8):08x}',
                host=f'10.{rng.randrange(256)}.{rng.randrange(256)}.{number % 256}',
            )
            for number, vm in enumerate(
                slopes_samples.make_endpoints(count, zones=ZONE_COUNT)
            )
        )
    )


def _render(count: int) -> str:
    document = listing.to_document(_make_vm_list(count))
    return json.dumps(document, separators=(',', ':'))


def _measure_json_bytes(count: int) -> float:
    return len(_render(count))


def _measure_peer_bytes(count: int) -> float:
    return len(listing.encode(_make_vm_list(count)))


def _decode(text: str) -> platform.VmList:
    """Decode the text of a VM list as the platform client does."""
    return (
        json_text.parse_object(
            text, max_bytes=listing.MAX_LIST_BYTES, comments=False
        )
        .and_then(listing.from_document)
        .unwrap()
    )


def _time_decode(count: int) -> float:
    text = _render(count)
    return slopes_fit.measure_cpu_us(lambda: _decode(text))


def _time_decode_from_peer(count: int) -> float:
    payload = listing.encode(_make_vm_list(count))
    return slopes_fit.measure_cpu_us(lambda: listing.decode(payload).unwrap())


def _time_encode(count: int) -> float:
    vm_list = _make_vm_list(count)
    return slopes_fit.measure_cpu_us(lambda: listing.encode(vm_list))


def _time_apply(count: int) -> float:
    """Return the CPU time to update directory, routing and health estimates."""
    entry_components = _build_components()
    entry_components.directory.offer(_make_vm_list(count))
    newer_vm_list = _make_vm_list(count)
    return slopes_fit.measure_cpu_us(
        lambda: entry_components.directory.offer(newer_vm_list)
    )


def _measure_memory(count: int) -> float:
    """Return the memory of the VM list and of all state for each VM."""
    text = _render(count)
    entry_components = _build_components()

    def apply_vm_list() -> components.Components:  # noqa: WPS430
        entry_components.directory.offer(_decode(text))
        return entry_components

    return slopes_fit.measure_heap_bytes(apply_vm_list)


def _measure_decode_peak(count: int) -> float:
    """Return the peak memory while the text of the VM list is decoded."""
    text = _render(count)
    return slopes_fit.measure_heap_peak_bytes(lambda: _decode(text))


def _build_components() -> components.Components:
    """Return the components of an entry process that is not started."""
    return components.build(
        cfg=slopes_samples.make_entry_settings(),
        dependencies=components.Dependencies(
            clock=slopes_samples.make_clock(),
            rng=random.Random(1),
            platform=slopes_samples.InMemoryPlatform(
                vm_list=slopes_samples.make_vm_list(), contracts={}
            ),
        ),
    )
