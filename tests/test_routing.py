"""Route lookup and the choice of a route's service."""

import random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from filbertdrift.routing import PrefixRoute, PrefixTable, WeightedService


def route(
    host: str, prefix: str, *weighted_services: WeightedService
) -> PrefixRoute:
    """Return a route named after its prefix."""
    return PrefixRoute(
        name=prefix,
        host=host,
        prefix=prefix,
        weighted_services=weighted_services or (WeightedService('desk', 1),),
        is_idempotent=True,
        timeout_s=1,
        objective_s=0.3,
        rank=1,
        max_attempts=2,
    )


class MatchTest(TestCase):
    """The longest matching path prefix of the host selects the route."""

    def test_longest_prefix(self) -> None:
        table = PrefixTable(
            (
                route('x.example', '/'),
                route('x.example', '/a/'),
                route('x.example', '/a/b/'),
            ),
        )
        wanted = {
            '/a/b/c': '/a/b/',
            '/a/b': '/a/',
            '/a/?q=/a/b/': '/a/',
            '/z': '/',
            '/a/b/c/d/e?x': '/a/b/',
        }
        for path, prefix in wanted.items():
            matched = table.match('X.example:80', path)
            self.assertThat(matched and matched.name, Equals(prefix))

    def test_no_route(self) -> None:
        table = PrefixTable((route('x.example', '/a/'),))
        for host, path in (('y.example', '/a/b'), ('x.example', '/ab/c')):
            self.assertThat(table.match(host, path), Is(None))


class WeightedServiceTest(TestCase):
    """Requests are split between services by weight."""

    def test_by_weight(self) -> None:
        split = route(
            'x', '/', WeightedService('one', 90), WeightedService('two', 10)
        )
        rng = random.Random(1)
        picked = [split.pick_service(rng) for _ in range(3000)]
        self.assertThat(picked.count('two'), GreaterThan(210))
        self.assertThat(picked.count('two'), LessThan(390))
