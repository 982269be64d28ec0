"""Sends traffic to a running deployment and reports its outcomes."""

import asyncio
import json
import sys
import time
import uuid
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import httpx

OUTCOME_HEADER = 'x-filbertdrift-outcome'
READS = {
    'etiketa': ('/recipes/1', '/nutrients/salt'),
    'roadbook': ('/trips/1', '/rates/kingston'),
}
WRITES = {
    'etiketa': ('/labels/7/approve', '/allergens/nuts/flag'),
    'roadbook': ('/claims/7/submit', '/trips/7/approve'),
}
WRITE_EVERY = 5
WRITE_ATTEMPTS = 4
RETRY_DELAY_S = 1.5
CLIENT_ACCOUNTS = 7
ANSWERED = 'answered'
NODE_GONE = 'node-gone'
REPLAYED_HEADER = 'x-filbertdrift-replayed'
TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance, a line in the file `nodes` of a deployment.

    Args:
        number: Number of the instance.
        domain: Failure domain of the node.
        service: Service of the target.
        caller: Address of the node's caller port.
        admin: Address of the node's admin port.
    """

    number: str
    domain: str
    service: str
    caller: str
    admin: str


@dataclass(slots=True)
class TrafficReport:
    """Outcomes of the requests sent.

    Args:
        sent: Number of requests, without retries.
        outcomes: Number of attempts by outcome.
        statuses: Number of responses by status.
        wrong_answers: Number of responses of another request.
        writes: Number of writes.
        writes_answered: Number of writes that were answered.
        began_at: Monotonic time of the start.
        first_failure_s: Time from the start to the first attempt that was
            not answered, or None.
    """

    sent: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    wrong_answers: int = 0
    writes: int = 0
    writes_answered: int = 0
    began_at: float = field(default_factory=time.monotonic)
    first_failure_s: float | None = None


def read_instances(folder: str) -> list[Instance]:
    """Read the instances that deployment.sh started.

    Args:
        folder: Folder of the deployment.

    Returns:
        The instances in order of their start.
    """
    lines = (Path(folder) / 'nodes').read_text('utf-8').splitlines()
    return [Instance(*line.split()) for line in lines]


def send_traffic(
    folder: str,
    deployment: str,
    seconds: float = 10,
    per_s: float = 100,
) -> None:
    """Send requests to all nodes and print their outcomes.

    Args:
        folder: Folder of the deployment.
        deployment: etiketa or roadbook.
        seconds: How long to send.
        per_s: Requests per second.
    """
    report = asyncio.run(_send(folder, deployment, seconds, per_s))
    runs = _count_write_runs(folder)
    twice = sum(count > 1 for count in runs.values())
    _print_line(f'requests sent: {report.sent}')
    _print_line(f'attempts by outcome: {_format_counts(report.outcomes)}')
    _print_line(f'by status: {_format_counts(report.statuses)}')
    failed_at = report.first_failure_s
    first = 'none' if failed_at is None else f'after {failed_at:.1f} s'
    _print_line(f'first attempt that was not answered: {first}')
    _print_line(f'answers of another request: {report.wrong_answers}')
    _print_line(f'writes: {report.writes}, answered {report.writes_answered}')
    _print_line(f'writes that ran: {len(runs)}, more than once: {twice}')


async def _send(
    folder: str,
    deployment: str,
    seconds: float,
    per_s: float,
) -> TrafficReport:
    report = TrafficReport()
    instances = read_instances(folder)
    limits = httpx.Limits(max_connections=400)
    loop = asyncio.get_running_loop()
    async with httpx.AsyncClient(
        timeout=TIMEOUT_S,
        limits=limits,
        trust_env=False,
    ) as client:
        tasks = []
        deadline = loop.time() + seconds
        while loop.time() < deadline:
            work = _request(client, instances, deployment, report)
            tasks.append(loop.create_task(work))
            await asyncio.sleep(1 / per_s)
            report.writes += report.sent % WRITE_EVERY == 0
            report.sent += 1
        await asyncio.gather(*tasks)
    return report


async def _request(
    client: httpx.AsyncClient,
    instances: list[Instance],
    deployment: str,
    report: TrafficReport,
) -> None:
    number = report.sent
    is_write = number % WRITE_EVERY == 0
    client_account = f'member-{number % CLIENT_ACCOUNTS}'
    key = uuid.uuid4().hex if is_write else ''
    paths = WRITES if is_write else READS
    path = paths[deployment][number % 2]
    for attempt in range(WRITE_ATTEMPTS if is_write else 1):
        instance = instances[(number + attempt) % len(instances)]
        url = f'http://{instance.caller}{path}'
        outcome = await _send_once(client, url, client_account, key, report)
        report.outcomes[outcome] += 1
        if outcome == ANSWERED:
            report.writes_answered += is_write
            return
        if report.first_failure_s is None:
            report.first_failure_s = time.monotonic() - report.began_at
        await asyncio.sleep(RETRY_DELAY_S)


async def _send_once(
    client: httpx.AsyncClient,
    url: str,
    client_account: str,
    key: str,
    report: TrafficReport,
) -> str:
    request_id = uuid.uuid4().hex
    headers = {'x-request-id': request_id, 'x-customer': client_account}
    if key:
        headers['idempotency-key'] = key
    try:
        resp = await client.request(
            'POST' if key else 'GET',
            url,
            headers=headers,
        )
    except httpx.HTTPError:
        return NODE_GONE
    report.statuses[resp.status_code] += 1
    outcome = resp.headers.get(OUTCOME_HEADER, 'none')
    # A replayed response carries the id of the request that was executed.
    is_first = REPLAYED_HEADER not in resp.headers
    if resp.status_code == httpx.codes.OK:
        resp_body = resp.json()
        is_own = not is_first or resp_body['request'] == request_id
        if not is_own or resp_body['customer'] != client_account:
            report.wrong_answers += 1
    return str(outcome)


def _count_write_runs(folder: str) -> Counter[str]:
    """Return the executions of each idempotency key, over all targets."""
    runs: Counter[str] = Counter()
    record = Path(folder) / 'executions'
    if record.exists():
        for line in record.read_text('utf-8').splitlines():
            runs[line.split()[1]] += 1
    runs.pop('-', None)
    return runs


def record_trace(folder: str, seed: int = 1) -> None:
    """Print a run of a deployment as a trace for replay.

    Args:
        folder: Folder of the deployment. Its file 'events' holds a line for
            each event: seconds since the epoch, the event and its arguments.
        seed: Seed of the replay.
    """
    instances = read_instances(folder)
    domain_sizes: Counter[str] = Counter()
    names = {}
    groups: Counter[tuple[str, str]] = Counter()
    for instance in instances:
        names[instance.number] = (
            f'{instance.domain}-{domain_sizes[instance.domain]}:7000'
        )
        domain_sizes[instance.domain] += 1
        groups[instance.domain, instance.service] += 1
    lines = (Path(folder) / 'events').read_text('utf-8').splitlines()
    start = float(lines[0].split()[0]) if lines else time.time()
    events = [_trace_event(line.split(), start, names) for line in lines]
    _print_line(
        json.dumps(
            {
                'about': f'recorded from {len(instances)} processes',
                'seed': seed,
                'fleet': [
                    {'domain': domain, 'service': service, 'count': count}
                    for (domain, service), count in groups.items()
                ],
                'events': events,
                'outcomes': [],
            },
            indent=2,
        ),
    )


_TRACE_EVENTS: Mapping[str, Mapping[str, object]] = {
    'kill-node': {'do': 'kill'},
    'restart-node': {'do': 'restart'},
    'kill-target': {'do': 'target', 'is_up': False},
    'restart-target': {'do': 'target', 'is_up': True},
    'pause-node': {'do': 'freeze'},
    'resume-node': {'do': 'thaw'},
    'end-node': {'do': 'leave'},
    'kill-log': {'do': 'log_down'},
}


def _trace_event(
    words: list[str],
    start: float,
    names: dict[str, str],
) -> dict[str, object]:
    at = round(float(words[0]) - start, 3)
    if words[1] == 'publish':
        return {
            'at': at,
            'do': 'publish',
            'id': f'recorded-{at}',
            'service': words[2],
            'policy': 'upload',
        }
    event = {'at': at, **_TRACE_EVENTS[words[1]]}
    if event['do'] in {'kill', 'restart'}:
        event['nodes'] = [names[words[2]]]
    elif event['do'] != 'log_down':
        event['node'] = names[words[2]]
    return event


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')


def _format_counts(counter: Counter[str] | Counter[int]) -> str:
    pairs = sorted(counter.items(), key=str)
    return ', '.join(f'{name} {count}' for name, count in pairs)
