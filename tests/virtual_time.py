"""The event loop of the emulator, for tests of single components."""

from sardineproxy.emulator import virtual_loop

VirtualLoop = virtual_loop.VirtualLoop
LoopClock = virtual_loop.LoopClock
run = virtual_loop.run
