"""Decodes the accounts of the operator's configuration, its `tenants`."""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from filbertdrift.accounts.directory import (
    AccountDirectory,
    AccountKeys,
    ClientAccount,
    build_directory,
)

# Messages between nodes have 32 bits for it, with the sign.
_MAX_PRIORITY = 0x7FFFFFFF
_Priority = Annotated[int, Meta(ge=0, le=_MAX_PRIORITY)]
_Amount = Annotated[float, Meta(ge=0)]

_ABSENT = b'null'


class _Tenant(Struct, frozen=True):
    api_keys: tuple[str, ...] = ()
    priority: _Priority | None = None
    # Zero or absent: no limit.
    rate_per_s: _Amount | None = None
    burst: _Amount | None = None


_TABLE_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
_TENANT_DECODER = msgspec.json.Decoder(_Tenant, strict=False)


class TenantsDecoder:
    """Decodes the accounts of successive versions of the configuration.

    Few versions change them, so the directory is built when they differ.
    """

    def __init__(self) -> None:
        """Start without a version before."""
        self._stated = b''
        self._directory: AccountDirectory | None = None

    def parse(self, stated: bytes) -> AccountDirectory | None:
        """Return the accounts of a configuration.

        Args:
            stated: The table as JSON, empty if the document has none.

        Returns:
            None if the document has no table.

        Raises:
            MalformedMessage: An account is invalid or shares a key.
            ValueError: The table or one of its entries has a wrong type; the
                reason names the account and no key.
        """
        if stated in {b'', _ABSENT}:
            return None
        if stated != self._stated:
            self._directory = build_directory(
                _decode_tenant(name, bytes(raw))
                for name, raw in _TABLE_DECODER.decode(stated).items()
            )
            self._stated = stated
        return self._directory


def _decode_tenant(name: str, raw: bytes) -> AccountKeys:
    try:
        model = _TENANT_DECODER.decode(raw)
    except msgspec.DecodeError as exc:
        raise ValueError(f'account {name!r}: {exc}') from exc
    account = ClientAccount(
        name=name,
        rank=model.priority,
        rate_per_s=model.rate_per_s or 0,
        burst=model.burst or 0,
    )
    return AccountKeys(account, model.api_keys)
