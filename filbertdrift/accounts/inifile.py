"""Client accounts in operators' configuration files."""

from collections.abc import Mapping

from pydantic import Field

from filbertdrift.accounts.directory import (
    AccountDirectory,
    AccountKeys,
    ClientAccount,
    build_directory,
)
from filbertdrift.configtypes import (
    PRIORITY_BY_IMPORTANCE,
    Importance,
    SectionModel,
    Words,
)


class AccountModel(SectionModel):
    """A client account: its keys, importance and limits."""

    api_keys: Words = Field(default=(), repr=False)
    importance: Importance | None = None
    rate_per_s: float = Field(default=0, ge=0, allow_inf_nan=False)
    burst: float = Field(default=0, ge=0, allow_inf_nan=False)


def build_accounts(
    models: Mapping[str, AccountModel],
) -> AccountDirectory | None:
    """Build the directory of the accounts of a configuration.

    Args:
        models: The accounts by name.

    Returns:
        None if there are none, and requests need no keys.

    Raises:
        MalformedMessage: Two accounts have a key in common.
    """
    if not models:
        return None
    return build_directory(
        AccountKeys(_build_account(name, model), model.api_keys)
        for name, model in sorted(models.items())
    )


def _build_account(name: str, model: AccountModel) -> ClientAccount:
    rank = None
    if model.importance is not None:
        rank = PRIORITY_BY_IMPORTANCE[model.importance]
    return ClientAccount(name, rank, model.rate_per_s, model.burst)
