"""Settings of a node, read from an INI file and validated at start.

Environment variables override the file, and command line flags override both.
"""

import configparser
import ipaddress
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
)

from filbertdrift.configfile import suggest
from filbertdrift.errors import SettingsError

ENVIRONMENT_PREFIX = 'FILBERTDRIFT_'
MAX_PORT = 65_535
DEFAULT_CHECKPOINT_S = 600
DEFAULT_CLAIM_TTL_S = 1800

_SECTION_SEPARATOR = '__'


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError as exc:
        raise ValueError(
            'expected IP number and port, as 10.0.0.1:7000',
        ) from exc
    if not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'expected a port from 1 to {MAX_PORT}')
    return text


def _split_words(text: object) -> object:
    if isinstance(text, str):
        return tuple(text.replace(',', ' ').split())
    return text


Address = Annotated[str, AfterValidator(_check_address)]
Addresses = Annotated[tuple[Address, ...], BeforeValidator(_split_words)]


class _Section(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class NodeSection(_Section):
    """Location of the node and the addresses it listens on."""

    peer_address: Address
    caller_address: Address
    admin_address: Address
    domain: str = Field(min_length=1)
    region: str = ''


class PeersSection(_Section):
    """Peers to join at start."""

    seeds: Addresses = ()


class LogSection(_Section):
    """The log service, its checkpoints and the lifetime of claims."""

    url: str = Field(pattern=r'^https?://\S+$')
    checkpoint_interval_s: float = Field(default=DEFAULT_CHECKPOINT_S, ge=1)
    claim_ttl_s: float = Field(default=DEFAULT_CLAIM_TTL_S, ge=10)


class ControlSection(_Section):
    """Profile of the control plane: fast convergence or low bandwidth."""

    profile: Literal['convergence', 'bytes'] = 'convergence'


class LoggingSection(_Section):
    """Level and format of the log on standard error."""

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    format: Literal['text', 'json'] = 'text'


class TracingSection(_Section):
    """The fraction of requests that are traced."""

    sampled: float = Field(default=0, ge=0, le=1)


class Settings(_Section):
    """All settings of one node."""

    node: NodeSection
    log: LogSection
    peers: PeersSection = PeersSection()
    control: ControlSection = ControlSection()
    logging: LoggingSection = LoggingSection()
    tracing: TracingSection = TracingSection()


def load_settings(
    path: str,
    overrides: Mapping[str, str] | None = None,
    environment: Mapping[str, str] | None = None,
) -> Settings:
    """Load and validate settings from a file, the environment and overrides.

    Args:
        path: The INI file.
        overrides: Values by 'section.key'; they take precedence over all
            others.
        environment: Variables such as FILBERTDRIFT_NODE__DOMAIN; os.environ
            if None.

    Returns:
        The validated settings.

    Raises:
        SettingsError: The reason lists every error, one per line.
    """
    sections = _read_file(path)
    variables = os.environ if environment is None else environment
    for name, text in variables.items():
        if name.startswith(ENVIRONMENT_PREFIX) and _SECTION_SEPARATOR in name:
            option = name[len(ENVIRONMENT_PREFIX) :].lower()
            section, _, key = option.partition(_SECTION_SEPARATOR)
            sections.setdefault(section, {})[key] = text
    for name, text in (overrides or {}).items():
        section, _, key = name.partition('.')
        sections.setdefault(section, {})[key] = text
    try:
        return Settings.model_validate(sections)
    except ValidationError as exc:
        reasons = [_describe_error(path, error) for error in exc.errors()]
        raise SettingsError('\n'.join(reasons), step='settings') from exc


def _read_file(path: str) -> dict[str, dict[str, str]]:
    parser = configparser.RawConfigParser(delimiters=('=',), strict=True)
    try:
        parser.read_string(Path(path).read_text('utf-8'), source=path)
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f'{path}: {exc}', step='settings') from exc
    except configparser.Error as exc:
        reason = ' '.join(str(exc).split())
        raise SettingsError(reason, step='settings') from exc
    return {title: dict(parser.items(title)) for title in parser.sections()}


def _describe_error(path: str, error: Mapping[str, object]) -> str:
    loc = [str(part) for part in error['loc']]  # type: ignore[attr-defined]
    section, key = loc[0], loc[1] if len(loc) > 1 else ''
    location = f'{path} [{section}] {key}'.rstrip()
    if error['type'] == 'extra_forbidden':
        return f'{location}: unknown; {_suggest_name(section, key)}'
    if error['type'] == 'missing':
        return f'{location}: missing; add it'
    message = str(error['msg']).removeprefix('Value error, ')
    return f'{location}: {message}, got {error["input"]!r}'


def _suggest_name(section: str, key: str) -> str:
    if not key:
        return suggest(section, Settings.model_fields)
    model = Settings.model_fields[section].annotation
    fields = getattr(model, 'model_fields', {})
    return suggest(key, fields)
