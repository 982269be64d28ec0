"""The platform adapter: documents and settings, valid and invalid."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase
from testtools.matchers import Contains, Equals, Is
from testtools.testcase import ExpectedException

from filbertdrift.accounts.quota_bounds import QuotaBounds
from filbertdrift.config_holder import ConfigHolder
from filbertdrift.errors import MalformedMessage, SettingsError
from filbertdrift.platform.documents import (
    ConfigDecoder,
    parse_config,
    parse_heartbeat,
    parse_leave,
)
from filbertdrift.platform.settings import load_platform_settings
from standins.mesh_fleet import config_document
from tests.builders import run_virtual

SETTINGS = """
node_name = "sidecar-a-1"
ip = "10.1.0.38"
zone = "a"
region = "one"
internal_port_range = [7380,7395]
seeds = ["10.1.0.39:8144"]
bounds = ["grace_s=6","retry_budget_ratio=0.2","strict=true"]
app_addr = "10.1.0.38:8145"
service = "desk"
unknown_field = 1
[listen]
outbound = "10.1.0.38:8147"
ready = "10.1.0.38:8141"
control = "10.1.0.38:8144"
[platform]
address = "10.200.1.7:8142"
"""

HEARTBEAT = {
    'service': 'desk',
    'address': '10.1.0.38:8145',
    'zone': 'a',
    'version': 'v1',
    'slots': 12,
    'state': 'ready',
    'cold_remaining_s': 0,
    'seq': 4,
}


def heartbeat_body(**changes: object) -> bytes:
    """Return a heartbeat with changed fields; None removes a field."""
    fields = {**HEARTBEAT, **changes}
    return json.dumps(
        {name: text for name, text in fields.items() if text is not None},
    ).encode()


class HeartbeatTest(TestCase):
    """Decoding of heartbeats and leave messages."""

    def test_decoded(self) -> None:
        found = parse_heartbeat(
            'i-1', heartbeat_body(born=17, state='draining')
        )
        self.assertThat(found.instance, Equals('i-1'))
        self.assertThat(found.born_ms, Equals(17))
        self.assertThat(found.is_draining, Is(True))
        self.assertThat(found.slots, Equals(12))

    def test_invalid_heartbeats(self) -> None:
        for body in (
            heartbeat_body(state='resting'),
            heartbeat_body(slots='many'),
            heartbeat_body(service=None),
            heartbeat_body(born='yesterday'),
            heartbeat_body(address=5),
            b'\xff\x00',
            b'[]',
        ):
            with ExpectedException(MalformedMessage):
                parse_heartbeat('i-1', body)

    def test_leave(self) -> None:
        self.assertThat(parse_leave('i-1', b''), Is(None))
        self.assertThat(parse_leave('i-1', b'{"born":9}'), Equals(9))
        with ExpectedException(MalformedMessage):
            parse_leave('i-1', b'{"born":"x"}')


class ConfigTest(TestCase):
    """Decoding of the operator's configuration."""

    def test_decoded(self) -> None:
        split = [
            {'service': 'desk', 'weight': 90},
            {'service': 'ledger', 'weight': 10},
        ]
        document = config_document(12, read={'traffic_split': split})
        config = parse_config(json.dumps(document).encode())
        routes = {route.name: route for route in config.routes}
        self.assertThat(config.version, Equals(12))
        self.assertThat(routes['read'].is_idempotent, Is(True))
        self.assertThat(routes['write'].is_idempotent, Is(False))
        self.assertThat(len(routes['read'].weighted_services), Equals(2))

    def test_upload_is_not_idempotent(self) -> None:
        document = config_document(1, read={'kind': 'upload'})
        config = parse_config(json.dumps(document).encode())
        read = next(found for found in config.routes if found.name == 'read')
        self.assertThat(read.is_idempotent, Is(False))

    # Lost responses of downloads were not retried, as for writes.
    def test_download_is_idempotent(self) -> None:
        document = config_document(1, write={'kind': 'download'})
        config = parse_config(json.dumps(document).encode())
        write = next(found for found in config.routes if found.name == 'write')
        self.assertThat(write.is_idempotent, Is(True))

    def test_refused_whole(self) -> None:
        bad_route = config_document(1, read={'path_prefix': 'read'})
        no_version = {**config_document(1), 'version': 'newest'}
        for document in (bad_route, no_version, {}, []):
            with ExpectedException(MalformedMessage):
                parse_config(json.dumps(document).encode())

    # Each version built all routes anew, of which it changed one.
    def test_only_changed_routes_are_decoded(self) -> None:
        decoder = ConfigDecoder()
        routes = {
            f'r{number}': {'path_prefix': f'/{number}/'}
            for number in range(1200)
        }
        document = config_document(1, **routes)
        first = decoder.parse(json.dumps(document).encode())
        decoded = decoder.decoded_routes
        document['version'] = 'r2'
        document['routes']['r7']['timeout_s'] = 9.0
        second = decoder.parse(json.dumps(document).encode())
        self.expectThat(decoder.decoded_routes, Equals(decoded + 1))
        self.expectThat(
            second, Equals(parse_config(json.dumps(document).encode()))
        )
        changed = [
            after.name
            for before, after in zip(first.routes, second.routes, strict=True)
            if before is not after
        ]
        self.assertThat(changed, Equals(['r7']))

    def test_malformed_version_changes_nothing(self) -> None:
        decoder = ConfigDecoder()
        document = config_document(1)
        before = decoder.parse(json.dumps(document).encode())
        document['routes']['read']['priority'] = 'high'
        with ExpectedException(MalformedMessage):
            decoder.parse(json.dumps(document).encode())
        document['routes']['read']['priority'] = 2
        after = decoder.parse(json.dumps(document).encode())
        self.assertThat(after, Equals(before))

    # A document that came from a peer and from the log was decoded twice.
    def test_same_document_is_decoded_once(self) -> None:
        async def case() -> None:
            decoder = ConfigDecoder()
            holder = ConfigHolder(decoder.parse)
            document = json.dumps(config_document(1)).encode()
            self.expectThat(holder.offer(document, 'peer'), Is(True))
            decoded = decoder.decoded_routes
            decoder._known.clear()
            self.expectThat(holder.offer(document, 'log'), Is(False))
            self.expectThat(holder.read(document, 'log'), Equals(1))
            self.assertThat(decoder.decoded_routes, Equals(decoded))

        run_virtual(case())


class SettingsTest(TestCase):
    """The settings file that the platform writes for a node."""

    def load(self, text: str) -> object:
        """Load settings from a file with the given content."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'boot.toml'
            path.write_text(text, 'utf-8')
            return load_platform_settings(str(path))

    def test_decoded(self) -> None:
        found = self.load(SETTINGS)
        self.assertThat(found.peer_address, Equals('10.1.0.38:7380'))
        self.assertThat(found.seeds, Equals(['10.1.0.39:7380']))
        self.assertThat(found.retry_limits.ratio, Equals(0.2))
        self.assertThat(found.quota_bounds, Equals(QuotaBounds()))

    def test_quota_bounds(self) -> None:
        """The quota rule of the deployment, not the default one, is kept."""
        bounds = '"quota_window_s=4","quota_overage=0.2","quota_slack=7"'
        found = self.load(SETTINGS.replace('"strict=true"', bounds))
        self.assertThat(found.quota_bounds, Equals(QuotaBounds(4, 0.2, 7)))
        self.assertThat(found.retry_limits.extra, Equals(20))
        self.assertThat(found.termination_grace_s, Equals(6))

    # Revocation is strict only where the platform says so.
    def test_strict_revocation(self) -> None:
        for bounds, expected in (
            ('"revoke_s=4"', None),
            ('"revoke_s=4","strict_revoke=false"', None),
            ('"revoke_s=4","strict_revoke=true"', 4),
            ('"strict_revoke=true"', 5),
        ):
            found = self.load(SETTINGS.replace('"strict=true"', bounds))
            self.expectThat(found.revoke_s, Equals(expected))

    def test_link_capacity(self) -> None:
        for text, expected in (
            ('', None),
            ('[limits]\nlink_mbps = 0', None),
            ('[limits]\nlink_mbps = 2.5\nnew = 1', 2.5),
        ):
            found = self.load(f'{SETTINGS}\n{text}\n')
            self.assertThat(found.link_mbps, Equals(expected))

    def test_every_error_is_named(self) -> None:
        text = SETTINGS.replace('zone = "a"', '').replace(
            'ready = "10.1.0.38:8141"',
            'ready = 5',
        )
        try:
            self.load(text)
        except SettingsError as exc:
            self.assertThat(str(exc), Contains('zone'))
            self.assertThat(str(exc), Contains('listen.ready'))
            return
        self.fail('invalid settings were accepted')

    def test_missing_file(self) -> None:
        with ExpectedException(SettingsError):
            load_platform_settings('no-such-file.toml')
