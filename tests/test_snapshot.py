"""Snapshots: every reference resolves at all times; route matching."""

from testtools import TestCase
from testtools.matchers import Equals, Is

from filbertdrift import fold
from filbertdrift.snapshot import build_snapshot
from filbertdrift.wire import encode
from tests import variants
from tests.builders import POLICIES, config_record
from tests.cases import TraceTest


class ReferenceTest(TraceTest):
    """No route refers to a missing target set or service."""

    def test_churn(self) -> None:
        self.holds('references')

    def test_notices_missing_service(self) -> None:
        self.notices('references', variants.drops_empty_services)


class MatchTest(TestCase):
    """The most specific path has precedence."""

    def test_match(self) -> None:
        routes = {
            'any': '/trips/*',
            'one': '/trips/{trip}/approve',
            'own': '/trips/mine/approve',
        }
        text = POLICIES + '[targets t]\nservice = s\n'
        for name, path in routes.items():
            text += f'[route {name}]\npath = {path}\n'
            text += 'targets = t\npolicy = lookup\n'
        record = config_record('r', {'a.ini': text})
        state = fold.fold(fold.empty_state(), 0, encode(record))
        snapshot = build_snapshot(state, {})
        wanted = {
            '/trips/7': 'any',
            '/trips/7/approve?x=1': 'one',
            '/trips/mine/approve': 'own',
            '/trips/mine/other': 'any',
        }
        for path, name in wanted.items():
            matched = snapshot.match('POST', path)
            self.assertThat(matched.name if matched else '', Equals(name))
        self.assertThat(snapshot.match('GET', '/claims'), Is(None))
