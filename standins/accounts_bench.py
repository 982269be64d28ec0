"""Benchmark of the check of a key, by the number of accounts."""

import asyncio
import random
import time
import timeit
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.accounts.authentication import Authenticator, UnknownKey
from filbertdrift.accounts.directory import (
    AccountDirectory,
    AccountKeys,
    ClientAccount,
    build_directory,
)
from filbertdrift.config_holder import ConfigHolder
from filbertdrift.freshness import Confirmation, Freshness, LogPosition
from filbertdrift.http1 import Headers
from filbertdrift.routing import (
    CallerLimits,
    PrefixRoute,
    RoutingConfig,
    WeightedService,
)

CALLS = 20_000
REPEATS = 7
KEY_HEADER = b'api-key'
US_PER_S = 1_000_000
MS_PER_S = 1000
REVOKE_S = 5.0
ERA = 1


@dataclass(slots=True)
class AccountsReport:
    """Processor time with one number of accounts.

    Args:
        accounts: How many accounts there are, each with one key.
        build_ms: To build the directory.
        known_us: To find the account of a key.
        unknown_us: To find that a random key is unknown.
        near_miss_us: The same for a key that differs in its last character.
        check_us: For the whole check of a request with a known key.
        refuse_us: For the whole check of one with an unknown key.
    """

    accounts: int
    build_ms: float
    known_us: float
    unknown_us: float
    near_miss_us: float
    check_us: float
    refuse_us: float


def bench_accounts(
    sizes: Sequence[int], seed: int = 1
) -> Sequence[AccountsReport]:
    """Measure the look-up and the check of keys.

    Args:
        sizes: Numbers of accounts.
        seed: Seed of the keys.
    """
    logger.remove()
    return [asyncio.run(_measure(size, random.Random(seed))) for size in sizes]


async def _measure(size: int, rng: random.Random) -> AccountsReport:
    keys = [f'{rng.getrandbits(128):032x}' for _ in range(size)]
    entries = [
        AccountKeys(ClientAccount(f'account-{number}', 1), (key,))
        for number, key in enumerate(keys)
    ]
    build_s = timeit.timeit(
        lambda: build_directory(entries), timer=time.process_time, number=1
    )
    directory = build_directory(entries)
    known = [rng.choice(keys).encode() for _ in range(CALLS)]
    near = [b'%s-' % key[:-1] for key in known]
    unknown = [b'%032x' % rng.getrandbits(128) for _ in range(CALLS)]
    check = _build_check(directory)
    return AccountsReport(
        accounts=size,
        build_ms=round(build_s * MS_PER_S, 1),
        known_us=_measure_us(directory.find, known),
        unknown_us=_measure_us(directory.find, unknown),
        near_miss_us=_measure_us(directory.find, near),
        check_us=_measure_us(check, known),
        refuse_us=_measure_us(check, unknown),
    )


def _measure_us(
    call: Callable[[bytes], object], keys: Sequence[bytes]
) -> float:
    """Return the time of one call, the least mean of some runs."""

    def call_all() -> None:
        for key in keys:
            call(key)

    times_s = timeit.repeat(
        call_all, timer=time.process_time, number=1, repeat=REPEATS
    )
    least_s = min(times_s)
    return round(least_s / len(keys) * US_PER_S, 2)


def _build_check(directory: AccountDirectory) -> Callable[[bytes], object]:
    """Return the check of a request by its key, on a node with evidence."""
    route = PrefixRoute(
        'read', 'x', '/', (WeightedService('desk', 1),), True, None, 1, 2, 2
    )
    holder = ConfigHolder(
        lambda _: RoutingConfig(1, (), {}, CallerLimits(), directory)
    )
    holder.offer(b'bench', 'bench')
    freshness = Freshness('a-0:7000', holder, lambda: 0.001)
    authenticator = Authenticator(
        holder, freshness, KEY_HEADER, REVOKE_S, REVOKE_S
    )
    loop = asyncio.get_running_loop()
    position = LogPosition(ERA, 1, 1)
    others: Headers = [(b'x-%d' % number, b'text') for number in range(6)]

    def check(key: bytes) -> object:
        now = loop.time()
        if freshness.age_s() > 1:
            freshness.record(Confirmation(position, now, now, 'a-0:7000'))
        try:
            return authenticator.permit([*others, (KEY_HEADER, key)], route)
        except UnknownKey as exc:
            return exc

    return check
