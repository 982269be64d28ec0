"""Tests of document deltas."""

import random

from testtools import TestCase
from testtools.matchers import Equals, LessThan
from testtools.testcase import ExpectedException

from filbertdrift.document_delta import apply_delta, encode_delta
from filbertdrift.errors import MalformedMessage

PARTS = 1600


def document(names: list[str]) -> bytes:
    """Return a document with a table for each name."""
    tables = ','.join(
        f'"{name}":{{"host":"desk.example","path_prefix":"/{name}/"}}'
        for name in names
    )
    return f'{{"version":"r{len(names)}","routes":{{{tables}}}}}'.encode()


class DocumentDeltaTest(TestCase):
    """Deltas between documents."""

    def test_random_edits_are_reproduced(self) -> None:
        rng = random.Random(5)
        old_names = [f'route-{number}' for number in range(60)]
        for number in range(200):
            names = list(old_names)
            for _ in range(rng.randrange(6)):
                names.pop(rng.randrange(len(names)))
                place = rng.randrange(len(names))
                names.insert(place, f'new-{number}-{place}')
            if rng.random() < 0.2:
                rng.shuffle(names)
            old, new = document(old_names), document(names)
            self.assertThat(
                apply_delta(old, encode_delta(old, new)), Equals(new)
            )
            old_names = names

    def test_documents_without_separators(self) -> None:
        for old, new in (
            (b'', b'a'),
            (b'a', b''),
            (b'ab', b'ac'),
            (b'}', b'}}'),
        ):
            self.assertThat(
                apply_delta(old, encode_delta(old, new)), Equals(new)
            )

    def test_small_change_of_a_large_document_is_small(self) -> None:
        names = [f'route-{number}' for number in range(PARTS)]
        changed = [*names[:40], *names[41:900], 'added', *names[900:]]
        delta = encode_delta(document(names), document(changed))
        self.assertThat(len(delta), LessThan(400))

    def test_other_base_is_detected(self) -> None:
        old, new = document(['one', 'two']), document(['one', 'two', 'six'])
        with ExpectedException(MalformedMessage):
            apply_delta(document(['one', 'ten']), encode_delta(old, new))

    def test_damaged_delta_is_detected(self) -> None:
        old, new = document(['one']), document(['one', 'two'])
        delta = encode_delta(old, new)
        for damaged in (b'', delta[:9], delta[:-3], delta[:8] + b'not zlib'):
            with ExpectedException(MalformedMessage):
                apply_delta(old, damaged)
