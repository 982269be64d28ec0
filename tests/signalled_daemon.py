"""A node process that gets a signal while it imports a module, or as it ends.

Start it as `python -m tests.signalled_daemon SIGNAL MODULE`; the module AT_EXIT
stands for the end of the interpreter.
"""

import os
import runpy
import sys
from collections.abc import Callable, Iterator, Sequence
from importlib.abc import MetaPathFinder
from types import ModuleType

AT_EXIT = 'exit'


def signal_at_end(
    kill: Callable[[int, int], None], pid: int, number: int
) -> Iterator[None]:
    """Signal a process when the suspended generator is removed."""
    try:
        yield
    finally:
        kill(pid, number)


class SignallingFinder(MetaPathFinder):
    """Finds nothing, and signals this process when a module is imported.

    Args:
        number: The signal.
        module: The full name of the module.
    """

    def __init__(self, number: int, module: str) -> None:
        """Store signal and name."""
        self._number = number
        self._module = module

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> None:
        """Signal this process if it is the module's turn."""
        if fullname == self._module:
            os.kill(os.getpid(), self._number)


if __name__ == '__main__':
    module = sys.argv.pop()
    number = int(sys.argv.pop())
    if module == AT_EXIT:
        late_signal = signal_at_end(os.kill, os.getpid(), number)
        next(late_signal)
    sys.meta_path.insert(0, SignallingFinder(number, module))
    runpy.run_module('filbertdrift.platform.daemon', run_name='__main__')
