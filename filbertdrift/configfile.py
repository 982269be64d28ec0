"""Parsing, merging and validation of operators' configuration files.

A folder holds small INI files. They are merged in the order of their names:
a key in a later file overrides the same key of the same section in an earlier
one. The merged sections are validated against typed models.
"""

import configparser
import difflib
import functools
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import (
    BaseModel,
    Field,
    ValidationError,
    field_validator,
)

from filbertdrift.accounts.inifile import AccountModel, build_accounts
from filbertdrift.configtypes import (
    Importance,
    SectionModel,
    Words,
    split_words,
)
from filbertdrift.errors import ConfigInvalid, MalformedMessage

MAX_RULES_VERSION = 3
# Earlier rules know no client accounts.
ACCOUNTS_RULES_VERSION = 3
FIRST_RULES_VERSION = 1
MAX_FILE_BYTES = 262_144
MAX_TIMEOUT_MS = 3_600_000
DEFAULT_PROBE_MS = 2000
DEFAULT_SLOW_START_MS = 5000
DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_STALL_MS = 5000
PARSE_CACHE_FILES = 4096
NAME_PATTERN = re.compile(r'^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$')


@dataclass(frozen=True, slots=True)
class Problem:
    """A validation error, its location and how to fix it."""

    file: str
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Return the error as one readable line."""
        location = self.file
        if self.section:
            location = f'{location} [{self.section}]'
        if self.key:
            location = f'{location} {self.key}'
        return f'{location}: {self.reason}'


@dataclass(frozen=True, slots=True)
class Value:
    """The effective value of a key and the file that sets it."""

    text: str
    file: str


@dataclass(frozen=True, slots=True)
class Section:
    """The keys of one section and the first file that contains it."""

    file: str
    entries: dict[str, Value]


class RouteModel(SectionModel):
    """A route: matches requests to a target set and a policy."""

    path: str = Field(pattern=r'^/[^\s?#]*$')
    methods: Words = ()
    targets: str
    policy: str

    @field_validator('methods')
    @classmethod
    def _upper(cls, methods: Words) -> Words:
        return tuple(method.upper() for method in methods)


class TargetsModel(SectionModel):
    """A target set: the targets of a service, their probes and refusals."""

    service: str = Field(min_length=1)
    probe_path: str = Field(default='', pattern=r'^(/\S*)?$')
    probe_interval_ms: int = Field(
        default=DEFAULT_PROBE_MS, ge=100, le=MAX_TIMEOUT_MS
    )
    slow_start_ms: int = Field(
        default=DEFAULT_SLOW_START_MS, ge=0, le=MAX_TIMEOUT_MS
    )
    refusal_statuses: Annotated[
        tuple[int, ...],
        Field(description='statuses that promise the request was not run'),
    ] = ()

    _split = field_validator('refusal_statuses', mode='before')(split_words)


class PolicyModel(SectionModel):
    """A request policy: timeouts, retries, idempotency and importance."""

    timeout_ms: int = Field(default=DEFAULT_TIMEOUT_MS, ge=1, le=MAX_TIMEOUT_MS)
    stall_ms: int = Field(default=DEFAULT_STALL_MS, ge=10, le=MAX_TIMEOUT_MS)
    idempotent_methods: Words = ('GET', 'HEAD', 'OPTIONS')
    retries: int = Field(default=2, ge=0, le=10)
    importance: Importance = 'normal'
    idempotency_key: Literal['ignored', 'honoured', 'required'] = 'ignored'
    customer_header: str = Field(default='', pattern=r'^[A-Za-z0-9-]*$')


class ExemptablePolicyModel(PolicyModel):
    """A request policy of configurations that may have client accounts."""

    auth_exempt: bool = False


@dataclass(frozen=True, slots=True)
class MergedConfig:
    """The validated sections of all files by kind and name."""

    routes: Mapping[str, RouteModel]
    targets: Mapping[str, TargetsModel]
    policies: Mapping[str, PolicyModel]
    accounts: Mapping[str, AccountModel]


_Kinds = Mapping[str, type[SectionModel]]

_FIRST_KINDS: _Kinds = {
    'route': RouteModel,
    'targets': TargetsModel,
    'policy': PolicyModel,
}
_KINDS: _Kinds = {
    **_FIRST_KINDS,
    'policy': ExemptablePolicyModel,
    'account': AccountModel,
}


_ModelsByKind = Mapping[str, Mapping[str, SectionModel]]


@functools.lru_cache(maxsize=PARSE_CACHE_FILES)
def parse_file(name: str, content: str) -> Mapping[str, Section]:
    """Parse one INI file.

    Args:
        name: The file's name, for error messages.
        content: The file's text.

    Returns:
        Sections by title.

    Raises:
        ConfigInvalid: The name, the size or the syntax is invalid.
    """
    if not NAME_PATTERN.match(name):
        raise ConfigInvalid(f'{name!r}: not a file name: use letters, digits')
    if len(content.encode()) > MAX_FILE_BYTES:
        raise ConfigInvalid(f'{name}: longer than {MAX_FILE_BYTES} bytes')
    parser = configparser.RawConfigParser(
        delimiters=('=',),
        comment_prefixes=('#', ';'),
        default_section='\0',
        strict=True,
    )
    try:
        parser.read_string(content, source=name)
    except configparser.Error as exc:
        reason = ' '.join(str(exc).split())
        raise ConfigInvalid(f'{name}: {reason}') from exc
    return {
        title: Section(
            name,
            {key: Value(text, name) for key, text in parser.items(title)},
        )
        for title in parser.sections()
    }


def merge(files: Mapping[str, str]) -> dict[str, Section]:
    """Merge files in the order of their names.

    Args:
        files: Contents by file name.

    Returns:
        Sections by title.

    Raises:
        ConfigInvalid: Files cannot be parsed; the reason lists all errors.
    """
    merged: dict[str, Section] = {}
    reasons = []
    for name in sorted(files):
        try:
            sections = parse_file(name, files[name])
        except ConfigInvalid as exc:
            reasons.append(exc.reason)
            continue
        for title, section in sections.items():
            combined = merged.setdefault(title, Section(section.file, {}))
            combined.entries.update(section.entries)
    if reasons:
        raise ConfigInvalid('\n'.join(reasons))
    return merged


def check(
    files: Mapping[str, str], rules: int = MAX_RULES_VERSION
) -> MergedConfig:
    """Merge files and validate the result.

    Args:
        files: Contents by file name.
        rules: The version of the validation rules to apply.

    Returns:
        The validated configuration.

    Raises:
        ConfigInvalid: The reason lists every error, one per line.
    """
    merged = merge(files)
    problems: list[Problem] = []
    kinds = _KINDS if rules >= ACCOUNTS_RULES_VERSION else _FIRST_KINDS
    models: dict[str, dict[str, SectionModel]] = {kind: {} for kind in _KINDS}
    for title in sorted(merged):
        _check_section(title, merged[title], kinds, models, problems)
    problems.extend(_check_references(merged, models))
    for rule in _RULES[:rules]:
        problems.extend(rule(merged, models))
    if problems:
        raise ConfigInvalid('\n'.join(str(problem) for problem in problems))
    return MergedConfig(
        routes=models['route'],  # type: ignore[arg-type]
        targets=models['targets'],  # type: ignore[arg-type]
        policies=models['policy'],  # type: ignore[arg-type]
        accounts=models['account'],  # type: ignore[arg-type]
    )


def suggest(word: str, known: Iterable[str]) -> str:
    """Return a hint that suggests the closest valid name.

    Args:
        word: The invalid name.
        known: The valid names.

    Returns:
        Text to append to an error message.
    """
    options = sorted(known)
    closest = difflib.get_close_matches(word, options, n=1)
    if closest:
        return f'did you mean {closest[0]!r}?'
    return f'known: {", ".join(options)}' if options else 'none are known'


def _check_section(
    title: str,
    section: Section,
    kinds: _Kinds,
    models: dict[str, dict[str, SectionModel]],
    problems: list[Problem],
) -> None:
    kind, _, name = title.partition(' ')
    file = section.file
    if kind not in kinds:
        hint = suggest(kind, kinds)
        problems.append(Problem(file, title, '', f'unknown kind; {hint}'))
        return
    if not NAME_PATTERN.match(name):
        reason = f'write [{kind} NAME] with letters, digits, dots or dashes'
        problems.append(Problem(file, title, '', reason))
        return
    model = kinds[kind]
    try:
        models[kind][name] = model.model_validate(
            {key: entry.text for key, entry in section.entries.items()},
        )
    except ValidationError as exc:
        problems.extend(_describe_errors(title, section, model, exc))


def _describe_errors(
    title: str,
    section: Section,
    model: type[BaseModel],
    exc: ValidationError,
) -> Iterable[Problem]:
    for error in exc.errors():
        key = str(error['loc'][0])
        entry = section.entries.get(key)
        file = entry.file if entry else section.file
        reason = error['msg']
        if error['type'] == 'extra_forbidden':
            reason = f'unknown key; {suggest(key, model.model_fields)}'
        elif error['type'] == 'missing':
            reason = 'missing; add this key'
        elif entry:
            reason = f'{reason}, got {entry.text!r}'
        yield Problem(file, title, key, reason)


def _check_references(
    merged: Mapping[str, Section],
    models: _ModelsByKind,
) -> Iterable[Problem]:
    for name, route in models['route'].items():
        title = f'route {name}'
        for key, kind in (('targets', 'targets'), ('policy', 'policy')):
            wanted = getattr(route, key)
            if wanted not in models[kind] and f'{kind} {wanted}' not in merged:
                hint = suggest(wanted, models[kind])
                reason = f'no section [{kind} {wanted}]; {hint}'
                file = merged[title].entries[key].file
                yield Problem(file, title, key, reason)


def _rule_idempotent_post(
    merged: Mapping[str, Section],
    models: _ModelsByKind,
) -> Iterable[Problem]:
    """Rules 1: a policy that requires a key cannot list POST as idempotent."""
    for name, policy in models['policy'].items():
        if not isinstance(policy, PolicyModel):
            continue
        required = policy.idempotency_key == 'required'
        if required and 'POST' in policy.idempotent_methods:
            title = f'policy {name}'
            file = merged[title].file
            reason = 'POST cannot be idempotent where a key is required'
            yield Problem(file, title, 'idempotent_methods', reason)


def _rule_same_match(
    merged: Mapping[str, Section],
    models: _ModelsByKind,
) -> Iterable[Problem]:
    """Rules 2: two routes may not match the same path and method."""
    seen: dict[tuple[str, str], str] = {}
    for name, route in sorted(models['route'].items()):
        if not isinstance(route, RouteModel):
            continue
        for method in route.methods or ('*',):
            other = seen.setdefault((route.path, method), name)
            if other != name:
                title = f'route {name}'
                file = merged[title].entries['path'].file
                reason = f'{method} {route.path} is matched by [route {other}]'
                yield Problem(file, title, 'path', f'{reason} already')


def _rule_account_keys(
    merged: Mapping[str, Section],
    models: _ModelsByKind,
) -> Iterable[Problem]:
    """Rules 3: two accounts may not have a key in common."""
    accounts = {
        name: account
        for name, account in models['account'].items()
        if isinstance(account, AccountModel)
    }
    try:
        build_accounts(accounts)
    except MalformedMessage as exc:
        title = f'account {min(accounts)}'
        yield Problem(merged[title].file, '', '', exc.reason)


_RULES: tuple[
    Callable[[Mapping[str, Section], _ModelsByKind], Iterable[Problem]],
    ...,
] = (_rule_idempotent_post, _rule_same_match, _rule_account_keys)
