"""Parsing and validation of the platform's live list."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure as Err, Result, Success

from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.messages import LiveEntry, LiveList, LiveRole

__all__ = ["parse_live_list"]

NAME_PATTERN = r"^[A-Za-z0-9._-]{1,64}$"
ADDRESS_PATTERN = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9A-Fa-f:.]+\]):\d{1,5}$"


class EntryModel(BaseModel):
    """One entry of the list; unknown fields are ignored."""

    model_config = ConfigDict(frozen=True)

    id: str = Field(pattern=NAME_PATTERN)
    role: LiveRole
    address: str = Field(pattern=ADDRESS_PATTERN)
    data_centre: str = Field(pattern=NAME_PATTERN)
    incarnation: int = Field(ge=0, lt=2**63)
    leaving: bool = False
    pool: str = ""


class LiveListModel(BaseModel):
    """The whole list."""

    entries: list[EntryModel]


def parse_live_list(body: bytes) -> Result[LiveList, Failure]:
    """Parse and validate the list; an invalid entry invalidates the list.

    Of several entries with the same id, the one with the highest incarnation
    is kept.

    >>> parse_live_list(b'{"entries": []}').unwrap()
    LiveList(entries_by_id={})
    >>> parse_live_list(b'{}').failure().detail
    'entries: Field required'
    """
    try:
        model = LiveListModel.model_validate_json(body)
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(map(str, first["loc"]))
        return Err(Failure(ErrorKind.BAD_REQUEST, f"{place}: {first['msg']}"))
    entries_by_id: dict[str, LiveEntry] = {}
    for entry in model.entries:
        known = entries_by_id.get(entry.id)
        if known is None or known.incarnation < entry.incarnation:
            entries_by_id[entry.id] = LiveEntry(**entry.model_dump())
    return Success(LiveList(entries_by_id))
