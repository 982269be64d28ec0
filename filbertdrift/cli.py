"""The command line: parses arguments, calls porcelain, prints reports.

Exit codes: 0 success, 1 failure, 2 invalid usage or settings, 3 a node or the
log is unavailable, 4 the change or the configuration was refused.
"""

import dataclasses
import json
import sys
from collections.abc import Callable, Sequence

import fire
from pydantic import BaseModel

from filbertdrift import porcelain, porcelain_bench
from filbertdrift.errors import EXIT_OK, FilbertdriftError, SettingsError
from filbertdrift.porcelain import DEFAULT_ADMIN


class Explain:
    """Show what nodes decided, and why."""

    def __init__(self, printer: 'Printer') -> None:
        """Store the printer."""
        self._printer = printer

    def fleet(self, admin: str = DEFAULT_ADMIN) -> None:
        """Show which nodes lag behind a node's configuration or are silent."""
        self._printer.show(porcelain.fleet(admin))

    def changes(self, admin: str = DEFAULT_ADMIN) -> None:
        """Show the verdicts on the last changes, with reasons for refusals."""
        self._printer.show(porcelain.verdicts(admin))

    def targets(self, service: str = '', admin: str = DEFAULT_ADMIN) -> None:
        """Show whether and why a node sends requests to each target."""
        self._printer.show(porcelain.targets(admin, service))

    def crashes(self, admin: str = DEFAULT_ADMIN) -> None:
        """Show requests that crashed targets, and which are blocked."""
        self._printer.show(porcelain.crashes(admin))

    def request(self, request_id: str, admin: str = DEFAULT_ADMIN) -> None:
        """Show the outcome of a request; ADMIN is its ingress node."""
        self._printer.show(porcelain.request(str(request_id), admin))


class Bench:
    """Run benchmarks; requires the development extra and standins/."""

    def __init__(self, printer: 'Printer') -> None:
        """Store the printer."""
        self._printer = printer

    def control(
        self,
        nodes: object = (10, 50, 150),
        profile: str = 'convergence',
        seed: int = 1,
    ) -> None:
        """Measure the control plane at several fleet sizes, in virtual time."""
        counts = [int(word) for word in _split_words(nodes)]
        self._printer.show(porcelain_bench.control(counts, profile, seed))

    def profiles(self, nodes: int = 150, seed: int = 1) -> None:
        """Measure both settings profiles and the steps between them."""
        self._printer.show(porcelain_bench.profiles(nodes, seed))

    def load(self, loads: object = (0.5, 1, 1.5, 3), seed: int = 1) -> None:
        """Measure overload goodput with failing targets, in virtual time."""
        factors = [float(word) for word in _split_words(loads)]
        self._printer.show(porcelain_bench.load(factors, seed))

    def accounts(self, sizes: object = (75, 100_000)) -> None:
        """Measure the check of keys with several numbers of accounts."""
        numbers = [int(word) for word in _split_words(sizes)]
        self._printer.show(porcelain_bench.accounts(numbers))

    def compare(
        self,
        pattern: str,
        tree: str = '',
        first: object = '',
        second: object = '',
        loads: object = (0.6, 0.9, 1.3),
        seeds: int = 5,
        plot: str = '',
    ) -> None:
        """Compare two versions or policies under a load pattern.

        PATTERN is returning-callers, stale-loads or leaving-callers. TREE is
        the source tree of the first variant, by default the same as that of the
        second. FIRST and SECOND set constants, such as
        --second=dispatch.MAX_SEARCHES=0. --plot=FILE.png writes a plot.
        """
        report = porcelain_bench.compare(
            pattern,
            (tree, ''),
            (_parse_constants(first), _parse_constants(second)),
            [float(word) for word in _split_words(loads)],
            seeds,
            plot,
        )
        self._printer.show(report)

    def hop(
        self,
        direct: str,
        via: str,
        path: str,
        calls: int = 3000,
        per_s: float = 100,
        depth: int = 1,
    ) -> None:
        """Measure the latency two nodes add; run by scripts/bench_hop.sh."""
        report = porcelain_bench.hop(direct, via, path, calls, per_s, depth)
        self._printer.show(report)

    def rate(
        self,
        via: str,
        path: str,
        pids: object,
        connections: int = 32,
        seconds: float = 5,
    ) -> None:
        """Measure throughput, CPU time and memory of nodes at full load."""
        numbers = [int(word) for word in _split_words(pids)]
        report = porcelain_bench.rate(via, path, numbers, connections, seconds)
        self._printer.show(report)


class Commands:
    """Configuration distribution and sidecar proxy for a service mesh.

    Every command accepts --json for machine-readable output.
    """

    def __init__(self, json: bool = False) -> None:
        """Choose the output format."""
        self._printer = Printer(as_json=json)
        self.explain = Explain(self._printer)
        self.bench = Bench(self._printer)

    def node(self, config: str, **overrides: str) -> None:
        """Run one node with settings from an INI file.

        --section.key=value overrides a single key.
        """
        texts = {name: str(text) for name, text in overrides.items()}
        porcelain.node(config, texts)

    def check(self, folder: str) -> None:
        """Merge and validate a folder of configuration files offline."""
        self._printer.show(porcelain.check(folder))

    def publish(
        self,
        *files: str,
        admin: str = DEFAULT_ADMIN,
        base: int | None = None,
        remove: str = '',
        wait: bool = False,
        id: str = '',  # noqa: A002
        raise_rules: int = 0,
    ) -> None:
        """Publish files as one change; --remove=NAME,NAME removes files.

        --base is the offset the change was prepared at; --id makes retries
        idempotent; --wait waits until every node that replies has applied it.
        """
        report = porcelain.publish(
            files,
            admin,
            base=base,
            remove=_split_words(remove),
            wait=wait,
            record_id=str(id),
            raise_rules=raise_rules,
        )
        self._printer.show(report)

    def watch(self, folder: str, admin: str = DEFAULT_ADMIN) -> None:
        """Publish every change of a folder until interrupted."""
        for report in porcelain.watch(folder, admin):
            self._printer.show(report)

    def trace(self, *files: str, request: str = '', node: str = '') -> None:
        """Show the timeline of a request or of a node from log files."""
        if isinstance(request, float):
            raise SettingsError(
                f'{request} was read as a number; write --request \'"ID"\'',
                step='trace',
            )
        for event in porcelain.trace(files, str(request), str(node)):
            self._printer.show(event.text())

    def status(self, admin: str = DEFAULT_ADMIN) -> None:
        """Show the state of a node."""
        self._printer.show(porcelain.status(admin))


class Printer:
    """Prints reports as text or JSON.

    Args:
        as_json: Print JSON, one document per report.
    """

    def __init__(self, *, as_json: bool) -> None:
        """Store the output format."""
        self._as_json = as_json

    def show(self, report: object) -> None:
        """Print a report or a list of reports."""
        plain = _to_plain_data(report)
        if self._as_json:
            sys.stdout.write(f'{json.dumps(plain)}\n')
        elif isinstance(plain, list):
            for item in plain:
                sys.stdout.write(f'{_format_line(item)}\n')
        else:
            sys.stdout.write(_format_lines(plain))
        sys.stdout.flush()


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit the process with its exit code."""
    sys.exit(run(arguments))


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the command line.

    Args:
        arguments: Arguments after the program name; sys.argv if None.

    Returns:
        The exit code.
    """
    words = list(sys.argv[1:] if arguments is None else arguments)
    as_json = '--json' in words
    others = [word for word in words if word != '--json']
    flags = ['--json=True'] if as_json else []
    return _run_command(
        lambda: fire.Fire(Commands, flags + others, 'filbertdrift')
    )


def _run_command(command: Callable[[], object]) -> int:
    try:
        command()
    except FilbertdriftError as exc:
        sys.stderr.write(f'filbertdrift: {exc}\n')
        return exc.exit_code
    except (KeyboardInterrupt, BrokenPipeError):
        # Ctrl+C, or the reader of the output (such as head) closed the pipe.
        return EXIT_OK
    return EXIT_OK


def _parse_constants(text: object) -> dict[str, float]:
    """Parse a comma-separated list of module.NAME=number."""
    constants = {}
    for word in _split_words(text) if text else ():
        name, _, number = word.partition('=')
        try:
            constants[name] = float(number) if '.' in number else int(number)
        except ValueError as exc:
            raise SettingsError(
                f'{word}: not of the form module.NAME=number',
                step='bench compare',
            ) from exc
    return constants


def _split_words(text: object) -> Sequence[str]:
    if isinstance(text, (list, tuple)):
        return [str(word) for word in text]
    return str(text).replace(',', ' ').split()


def _to_plain_data(report: object) -> object:
    if isinstance(report, list):
        return [_to_plain_data(item) for item in report]
    if isinstance(report, BaseModel):
        return report.model_dump()
    if isinstance(report, FilbertdriftError):
        return {'error': str(report)}
    if dataclasses.is_dataclass(report) and not isinstance(report, type):
        return dataclasses.asdict(report)
    return report


def _format_lines(plain: object) -> str:
    if not isinstance(plain, dict):
        return f'{plain}\n'
    lines = (
        f'{name}: {_format_value(entry)}\n' for name, entry in plain.items()
    )
    return ''.join(lines)


def _format_line(plain: object) -> str:
    if not isinstance(plain, dict):
        return str(plain)
    return '  '.join(
        f'{name}={_format_value(entry)}' for name, entry in plain.items()
    )


def _format_value(entry: object) -> str:
    if isinstance(entry, dict):
        return ', '.join(f'{name} {count}' for name, count in entry.items())
    if isinstance(entry, list):
        return ', '.join(str(item) for item in entry)
    return str(entry)
