"""Types that the models of operators' configuration files share."""

from collections.abc import Mapping
from typing import Annotated, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict

Importance = Literal['critical', 'normal', 'bulk']
PRIORITY_BY_IMPORTANCE: Mapping[str, int] = {
    'critical': 0,
    'normal': 1,
    'bulk': 2,
}


class SectionModel(BaseModel):
    """The keys of one kind of section; others are refused."""

    model_config = ConfigDict(extra='forbid', frozen=True)


def split_words(text: object) -> object:
    """Split a text at white space and commas; leave other objects alone."""
    if isinstance(text, str):
        return tuple(text.replace(',', ' ').split())
    return text


Words = Annotated[tuple[str, ...], BeforeValidator(split_words)]
