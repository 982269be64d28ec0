"""Replays traces and checks the expected outcomes.

A trace is a JSON file with a seed, the fleet to start, timed events (faults
and actions) and timed outcomes to check. The nodes are real and run on
virtual time.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from filbertdrift.errors import FilbertdriftError
from filbertdrift.members import MemberStatus
from filbertdrift.node import Node
from standins.fleet import Fleet, FleetInstance, run_virtual
from tests.builders import service_file, service_files

TRACES = Path(__file__).parent / 'traces'
SETTLE_S = 5.0

Variant = Callable[[Node], None]


@dataclass
class Adoption:
    """Adoption of a configuration by a node."""

    at: float
    node: str
    generation: int
    offset: int
    digest: str


@dataclass
class CallResult:
    """What a caller received: a response or an error."""

    at: float
    request_id: str
    outcome: str
    status: int = 0
    text: str = ''
    customer: str = ''


@dataclass
class Result:
    """What is recorded during a replay, for the outcomes to check."""

    fleet: Fleet
    adoptions: list[Adoption] = field(default_factory=list)
    answers: list[CallResult] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    published: dict[str, Any] = field(default_factory=dict)
    down: dict[str, FleetInstance] = field(default_factory=dict)


def replay(name: str, variant: Variant | None = None) -> list[str]:
    """Replay a trace.

    Args:
        name: The trace's file name without its extension.
        variant: Breaks each node, to prove that the outcomes detect it.

    Returns:
        The outcomes that did not hold, with what was found instead.
    """
    trace = json.loads((TRACES / f'{name}.json').read_text('utf-8'))
    return run_virtual(_Replay(trace, variant).run())


class _Replay:
    """Runs one trace: methods named _do_ are events, _expect_ outcomes."""

    def __init__(self, trace: dict[str, Any], variant: Variant | None) -> None:
        self._trace = trace
        self._variant = variant
        self._tasks: list[asyncio.Task[None]] = []
        fleet = Fleet(trace['seed'], trace.get('profile', 'convergence'))
        fleet.checkpoint_interval_s = trace.get('checkpoint_interval_s', 600)
        self.result = Result(fleet)
        self._instrument_nodes()

    async def run(self) -> list[str]:
        """Start the fleet, run the events and return the failed outcomes."""
        fleet = self.result.fleet
        loop = asyncio.get_running_loop()
        for group in self._trace['fleet']:
            await fleet.add(**group)
        await asyncio.sleep(SETTLE_S)
        services = sorted({group['service'] for group in self._trace['fleet']})
        await fleet.publish(service_files(*services), 'first')
        await asyncio.sleep(SETTLE_S)
        start = loop.time()
        self.start = start
        steps = self._trace['events'] + self._trace['outcomes']
        for step in sorted(steps, key=lambda found: found['at']):
            await asyncio.sleep(max(start + step['at'] - loop.time(), 0))
            if 'do' in step:
                await self._run_event(step)
            else:
                self._check_outcome(step)
        for task in self._tasks:
            task.cancel()
        return self.result.failures

    async def _run_event(self, event: dict[str, Any]) -> None:
        name, at = event['do'], event['at']
        arguments = {
            key: entry
            for key, entry in event.items()
            if key not in {'do', 'at'}
        }
        del at
        coro = getattr(self, f'_do_{name}')(**arguments)
        if coro is not None:
            if event['do'] in {'publish', 'call', 'leave'}:
                loop = asyncio.get_running_loop()
                self._tasks.append(loop.create_task(coro))
            else:
                await coro

    def _check_outcome(self, outcome: dict[str, Any]) -> None:
        arguments = {
            key: entry
            for key, entry in outcome.items()
            if key not in {'expect', 'at'}
        }
        failure = getattr(self, f'_expect_{outcome["expect"]}')(**arguments)
        if failure:
            text = f'at {outcome["at"]}: {outcome["expect"]}: {failure}'
            self.result.failures.append(text)

    def _instrument_nodes(self) -> None:
        fleet = self.result.fleet
        start = fleet._start

        async def start_instrumented(identity: Any, service: str) -> Node:
            node = await start(identity, service)
            self._instrument(node)
            return node

        fleet._start = start_instrumented  # type: ignore[method-assign]

    def _instrument(self, node: Node) -> None:
        adopt = node.replica.on_adopt

        def record_adoption(state: Any) -> None:
            self.result.adoptions.append(
                Adoption(
                    asyncio.get_running_loop().time(),
                    node.identity.address,
                    node.identity.generation,
                    state.offset,
                    state.digest.hex(),
                ),
            )
            adopt(state)

        node.replica.on_adopt = record_adoption
        if self._variant:
            self._variant(node)

    # Events

    async def _do_publish(
        self,
        id: str,  # noqa: A002
        files: dict[str, str | None] | None = None,
        service: str = '',
        policy: str = 'lookup',
        by: str = '',
        base: int | None = None,
    ) -> None:
        changes = files or {f'60-{service}.ini': service_file(service, policy)}
        by = by if by in self.result.fleet.instances else ''
        try:
            published = await self.result.fleet.publish(
                changes,
                id,
                base_offset=base,
                by=by,
            )
        except FilbertdriftError as exc:
            self.result.published.setdefault(id, []).append(repr(exc))
        else:
            self.result.published.setdefault(id, []).append(
                published.verdict.kind.name.lower(),
            )

    async def _do_add(self, **group: Any) -> None:
        await self.result.fleet.add(**group)

    async def _do_kill(self, nodes: list[str]) -> None:
        for address in self._addresses(nodes):
            self.result.down[address] = await self.result.fleet.kill(address)

    async def _do_restart(self, nodes: list[str]) -> None:
        wanted = self.result.down if nodes == ['all'] else nodes
        for address in list(wanted):
            instance = self.result.down.pop(address)
            await self.result.fleet.restart(instance)

    async def _do_leave(self, node: str) -> None:
        await self.result.fleet.instances[node].node.drain()

    def _do_cut(self, domains: list[str], log: bool = False) -> None:
        self.result.fleet.cut(*domains, log=log)

    def _do_cut_log(self, domains: list[str]) -> None:
        for name in domains:
            for address in self.result.fleet.domain(name):
                self.result.fleet.instances[address].log.is_partitioned = True

    def _do_heal(self) -> None:
        self.result.fleet.heal()

    def _do_freeze(self, node: str) -> None:
        self.result.fleet.simulator.freeze(node)

    def _do_thaw(self, node: str) -> None:
        self.result.fleet.simulator.thaw(node)

    def _do_silence(self, node: str) -> None:
        self.result.fleet.simulator.silence(node)

    def _do_loss(self, share: float) -> None:
        self.result.fleet.simulator.loss = share

    def _do_delay(self, low_s: float, high_s: float) -> None:
        rng = self.result.fleet.rng
        self.result.fleet.simulator.delay_s = lambda one, other: rng.uniform(
            low_s,
            high_s,
        )

    def _do_log_down(self) -> None:
        self.result.fleet.log.is_down = True

    def _do_log_up(self) -> None:
        self.result.fleet.log.is_down = False

    def _do_log_lose_answers(self, count: int) -> None:
        self.result.fleet.log.lost_answers = count

    def _do_log_expire(self, stream: str) -> None:
        log = self.result.fleet.log
        log.expire(stream, log._stream(stream).next_offset)

    def _do_target(self, node: str, **behaviour: Any) -> None:
        for name, entry in behaviour.items():
            setattr(self.result.fleet.instances[node].behaviour, name, entry)

    async def _do_call(
        self,
        node: str,
        path: str,
        method: str = 'GET',
        id: str = 'call',  # noqa: A002
        count: int = 1,
        every_s: float = 0,
        **arguments: Any,
    ) -> None:
        loop = asyncio.get_running_loop()
        for number in range(count):
            name = f'{id}-{number}' if count > 1 else id
            task = loop.create_task(
                self._call(node, path, method, name, arguments),
            )
            self._tasks.append(task)
            await asyncio.sleep(every_s)

    async def _call(
        self,
        node: str,
        path: str,
        method: str,
        name: str,
        arguments: dict[str, Any],
    ) -> None:
        key = arguments.pop('key', '')
        if key:
            arguments = {
                **arguments,
                'headers': [(b'idempotency-key', key.encode())],
            }
        call = CallResult(
            0, name, 'answered', customer=arguments.get('customer', '')
        )
        try:
            response = await self.result.fleet.call(
                node,
                path,
                method,
                name,
                **arguments,
            )
            part = response.first_part
            while not part.end:
                part = await response.part(2)
            call.status = response.status
            call.text = part.chunk.decode()
            response.close()
        except FilbertdriftError as exc:
            call.outcome = type(exc).__name__
            call.text = str(exc)
        call.at = asyncio.get_running_loop().time()
        self.result.answers.append(call)

    # Outcomes

    def _expect_in_force(self, offset: int, nodes: list[str]) -> str:
        offsets = self.result.fleet.offsets()
        lagging = {
            address: offsets[address]
            for address in self._addresses(nodes)
            if offsets[address] < offset
        }
        return f'lagging {lagging}' if lagging else ''

    def _expect_forward_only(self) -> str:
        last: dict[tuple[str, int], int] = {}
        for adoption in self.result.adoptions:
            key = adoption.node, adoption.generation
            if adoption.offset <= last.get(key, -1):
                return f'{adoption.node} went back to {adoption.offset}'
            last[key] = adoption.offset
        return ''

    def _expect_same_everywhere(self) -> str:
        digests: dict[int, set[str]] = {}
        for adoption in self.result.adoptions:
            digests.setdefault(adoption.offset, set()).add(adoption.digest)
        differing = {
            offset: found for offset, found in digests.items() if len(found) > 1
        }
        return f'differing at {differing}' if differing else ''

    def _expect_verdict(self, id: str, kinds: list[str]) -> str:  # noqa: A002
        found = self.result.published.get(id, [])
        return '' if found == kinds else f'{id} is {found}'

    def _expect_known_verdict(self, id: str, kind: str) -> str:  # noqa: A002
        for address, instance in self.result.fleet.instances.items():
            verdict = instance.node.replica.state.find_verdict(id)
            if verdict is None or verdict.kind.name.lower() != kind:
                return f'{address} has {verdict}'
        return ''

    def _expect_published_once(self, id: str) -> str:  # noqa: A002
        records = self.result.fleet.log.records('config')
        count = sum(id.encode() in record.payload for record in records)
        accepted = sum(
            verdict.kind.name == 'ACCEPTED' and verdict.record_id == id
            for verdict in self.result.fleet.nodes[0].replica.state.verdicts
        )
        return '' if accepted == 1 else f'{count} records, {accepted} accepted'

    def _expect_files(self, contains: dict[str, str | None]) -> str:
        for address, instance in self.result.fleet.instances.items():
            contents = instance.node.replica.state.contents()
            for name, text in contains.items():
                found = contents.get(name)
                if (text is None) != (found is None):
                    return f'{address} has {name}: {found}'
                if text and text not in (found or ''):
                    return f'{address} has {name}: {found}'
        return ''

    def _expect_no_dangling(self) -> str:
        for address, instance in self.result.fleet.instances.items():
            if instance.node.counters.dangling_routes:
                return f'{address} had routes without targets'
            snapshot = instance.node.snapshot
            if snapshot and snapshot.find_dangling_routes():
                return f'{address} has {snapshot.find_dangling_routes()}'
        return ''

    def _expect_outcomes(self, **wanted: int) -> str:
        found: dict[str, int] = {}
        for call in self.result.answers:
            found[call.outcome] = found.get(call.outcome, 0) + 1
        return '' if found == wanted else f'{found}'

    def _expect_only_outcomes(self, outcomes: list[str]) -> str:
        others = [
            f'{call.request_id} {call.outcome} {call.text}'
            for call in self.result.answers
            if call.outcome not in outcomes
        ]
        return f'{others[:3]}' if others else ''

    def _expect_answered_after(self, share: float, after: float) -> str:
        found = [
            call
            for call in self.result.answers
            if call.at >= self.start + after
        ]
        answered = sum(call.outcome == 'answered' for call in found)
        if found and answered >= share * len(found):
            return ''
        return f'{answered} of {len(found)}'

    def _expect_executions_at_most(self, count: int) -> str:
        executions = self._executions()
        excess = {
            name: times for name, times in executions.items() if times > count
        }
        return f'{excess}' if excess else ''

    def _expect_truthful(self) -> str:
        executions = self._executions()
        false_reports = [
            call.request_id
            for call in self.result.answers
            if call.outcome == 'RequestNotRun' and executions[call.request_id]
        ]
        return (
            f'ran but reported as not run: {false_reports}'
            if false_reports
            else ''
        )

    def _expect_right_answers(self) -> str:
        wrong = [
            f'{call.request_id}: {call.text}'
            for call in self.result.answers
            if call.outcome == 'answered'
            and call.status == 200
            and call.request_id.split('-')[0] not in call.text
        ]
        return f'{wrong[:3]}' if wrong else ''

    def _expect_member(self, node: str, status: str, by: list[str]) -> str:
        for address in self._addresses(by):
            table = self.result.fleet.instances[address].node.membership.table
            found = table.get(node)
            name = found.status.name.lower() if found else 'unknown'
            if name != status:
                return f'{address} sees {node} as {name}'
        return ''

    def _expect_current_generations(self, by: list[str]) -> str:
        instances = self.result.fleet.instances
        for address in self._addresses(by):
            table = instances[address].node.membership.table
            for node, instance in instances.items():
                found = table.get(node)
                current = instance.node.membership.local_member.generation
                if found is None or found.generation != current:
                    return f'{address} has an old generation of {node}'
        return ''

    def _expect_total(self, name: str, least: int, most: int) -> str:
        total = 0
        for node in self.result.fleet.nodes:
            found: Any = node
            for part in name.split('.'):
                found = getattr(found, part)
            total += found
        return '' if least <= total <= most else f'{name} is {total}'

    def _expect_answers(self, wanted: dict[str, str]) -> str:
        found = {call.request_id: call.outcome for call in self.result.answers}
        wrong = {
            name: found.get(name)
            for name, outcome in wanted.items()
            if found.get(name) != outcome
        }
        return f'{wrong}' if wrong else ''

    def _expect_ran_once(self, keys: list[str]) -> str:
        executions = self._executions()
        wrong = {key: executions[f'key {key}'] for key in keys}
        wrong = {key: count for key, count in wrong.items() if count != 1}
        return f'{wrong}' if wrong else ''

    def _expect_unsafe_at_most_once(self, prefix: str) -> str:
        excess = {
            name: count
            for name, count in self._executions().items()
            if name.startswith(prefix) and count > 1
        }
        return f'{excess}' if excess else ''

    def _expect_own_customer(self) -> str:
        wrong = [
            call.text
            for call in self.result.answers
            if call.outcome == 'answered'
            and not call.text.startswith(call.customer)
        ]
        return f'{wrong[:3]}' if wrong else ''

    def _expect_all_told(self, count: int) -> str:
        finished = len(self.result.answers)
        return '' if finished == count else f'{finished} of {count}'

    def _expect_no_deaths(self, by: list[str]) -> str:
        for address in self._addresses(by):
            table = self.result.fleet.instances[address].node.membership.table
            dead = [
                member.node
                for member in table.all_members()
                if member.status >= MemberStatus.SUSPECT
            ]
            if dead:
                return f'{address} considers {dead} dead or suspect'
        return ''

    def _expect_no_work_after(self, node: str, after: float) -> str:
        started = self.result.fleet.instances[node].node.server.last_started_at
        late = started - self.start - after
        return f'work {late:.2f} s after the limit' if late > 0 else ''

    def _expect_log_calls(self, reads: int, appends: int) -> str:
        counters = self.result.fleet.log.counters
        if counters.reads <= reads and counters.appends <= appends:
            return ''
        return f'{counters.reads} reads, {counters.appends} appends'

    def _expect_counter(self, node: str, name: str, least: int) -> str:
        instance = self.result.fleet.instances[node]
        found: Any = instance.node
        for part in name.split('.'):
            found = getattr(found, part)
        return '' if found >= least else f'{name} is {found}'

    def _executions(self) -> Any:
        executions = self.result.fleet.executions()
        for instance in self.result.down.values():
            executions.update(instance.behaviour.executions)
        return executions

    def _addresses(self, nodes: list[str]) -> list[str]:
        fleet = self.result.fleet
        if nodes == ['all']:
            return list(fleet.instances)
        found: list[str] = []
        for name in nodes:
            found.extend(fleet.domain(name) or [name])
        return found
