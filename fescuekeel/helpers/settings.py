"""Settings of one daemon, read from an INI file."""

import configparser
from pathlib import Path
from typing import Annotated, Any, get_origin

import msgspec
from msgspec import Meta
from returns.result import Failure as Err, Result, Success

from fescuekeel.errors import ErrorKind, Failure

__all__ = [
    "CallersSettings",
    "ForwardingSettings",
    "InstanceSettings",
    "OperatorsSettings",
    "PeersSettings",
    "PlatformSettings",
    "Settings",
    "parse_settings",
    "read_settings",
]


Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]

SHORTEST_KEY = 16


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Validate one section; unknown keys are errors."""


class InstanceSettings(Section, frozen=True):
    """Name this instance and say where it is."""

    id: Name
    data_centre: Name
    shutdown_s: Positive = 30.0


class CallersSettings(Section, frozen=True):
    """Where callers connect."""

    address: str
    tls_certificate: str = ""
    tls_key: str = ""


class OperatorsSettings(Section, frozen=True):
    """Where operators connect, and the SHA-256 of their token in hex."""

    address: str
    token_sha256: Digest


class PeersSettings(Section, frozen=True, kw_only=True):
    """Where other instances connect, and the keys that they share.

    ``keys`` holds one or two secrets separated by commas: the first signs,
    each is accepted, so that a key can be changed without a stop. ``seeds``
    are addresses used until the live list can be read. ``advertised_address``
    is what other instances are told to connect to, where it differs from the
    address that is bound, such as behind address translation.
    """

    address: str
    advertised_address: str = ""
    keys: tuple[str, ...]
    seeds: tuple[str, ...] = ()
    tls_certificate: str = ""
    tls_key: str = ""
    tls_ca: str = ""

    def __post_init__(self) -> None:
        """Ask for one or two keys of 16 characters or more."""
        if not 1 <= len(self.keys) <= 2:
            raise ValueError("keys: one or two keys are needed")
        if any(len(key) < SHORTEST_KEY for key in self.keys):
            raise ValueError(f"keys: a key has {SHORTEST_KEY} characters or more")


class PlatformSettings(Section, frozen=True):
    """Where the platform's services are.

    Either the two URLs are given, and the instance serves completions from
    the published tree; or ``dialect`` names the dialect that the platform
    speaks, and the instance forwards what its catalog says. ``dialect_path``
    is a folder and ``dialect_module`` a package in it that registers the
    dialect. ``store`` is the address of the platform's store.
    """

    config_url: str = ""
    live_url: str = ""
    dialect: str = ""
    dialect_path: str = ""
    dialect_module: str = ""
    store: str = ""

    def __post_init__(self) -> None:
        """Ask for the URLs or for a dialect, and not for both."""
        urls = bool(self.config_url and self.live_url)
        spoken = bool(self.dialect and self.dialect_module and self.store)
        if urls == spoken:
            raise ValueError(
                "either config_url and live_url are needed,"
                " or dialect, dialect_module and store"
            )


class ForwardingSettings(Section, frozen=True):
    """The bounds that the platform sets for forwarding.

    ``lease_s`` is how long two holders of orders to one endpoint keep apart;
    ``fenced`` says that endpoints refuse the orders of an earlier holder. The
    retry budget is shared by all instances: ``retry_ratio`` of the requests in
    ``retry_window_s``, and ``retry_slack`` more. A configuration has to be in
    force within ``change_bound_s`` after it was published, and an endpoint
    gets nothing more from ``leaving_bound_s`` on after it said that it leaves.
    A key that was taken away serves nowhere from ``revoked_bound_s`` on, on
    instances that hear nothing either; zero sets no such bound. What a client
    account may spend is counted over any window of ``limit_window_s``.
    """

    ready_address: str = ""
    metrics_address: str = ""
    lease_s: Positive = 3.0
    fenced: bool = False
    retry_ratio: NotNegative = 0.2
    retry_slack: NotNegative = 10.0
    retry_window_s: Positive = 10.0
    change_bound_s: Positive = 2.0
    leaving_bound_s: Positive = 2.0
    revoked_bound_s: NotNegative = 0.0
    limit_window_s: Positive = 8.0


class Settings(Section, frozen=True):
    """All settings of one daemon, a field for each section."""

    instance: InstanceSettings
    callers: CallersSettings
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    forwarding: ForwardingSettings = ForwardingSettings()

    @property
    def interface(self) -> str:
        """Return which interface the instance serves.

        It is ``forwarding`` or ``completions``, the words of the manifests.
        """
        return "forwarding" if self.platform.dialect else "completions"


def parse_settings(text: str) -> Result[Settings, Failure]:
    """Parse and validate INI text.

    The error names section and key:

    >>> failure = parse_settings("[instance]").failure()
    >>> failure.kind.value, "instance.id" in failure.detail
    ('invalid_settings', True)
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text)
        sections = {name: dict(parser[name]) for name in parser.sections()}
        return Success(_read_sections(sections))
    except (configparser.Error, ValueError) as error:
        return Err(Failure(ErrorKind.INVALID_SETTINGS, str(error)))


def _read_sections(sections: dict[str, dict[str, str]]) -> Settings:
    known = msgspec.structs.fields(Settings)
    types_by_name: dict[str, type[Section]] = {item.name: item.type for item in known}
    read: dict[str, Section] = {}
    for name, texts in sections.items():
        if name not in types_by_name:
            raise ValueError(f"{name}: no such section")
        read[name] = _read_section(name, texts, types_by_name[name])
    for item in known:
        if item.required and item.name not in read:
            raise ValueError(f"{item.name}: the section is missing")
    return Settings(**read)  # type: ignore[arg-type]


def _read_section(name: str, texts: dict[str, str], kind: type[Section]) -> Section:
    """Read one section, whose values are all texts in INI."""
    fields_by_key = {item.name: item for item in msgspec.structs.fields(kind)}
    for key, item in fields_by_key.items():
        if item.required and key not in texts:
            raise ValueError(f"{name}.{key}: the key is missing")
    values = {}
    for key, text in texts.items():
        if key not in fields_by_key:
            raise ValueError(f"{name}.{key}: no such key")
        values[key] = _read_text(text, fields_by_key[key].type)
    try:
        return msgspec.convert(values, kind, strict=False)
    except msgspec.ValidationError as error:
        raise ValueError(_name_place(name, str(error))) from error


def _read_text(text: str, kind: Any) -> object:
    """Return what INI can't say by itself: a list, or yes and no."""
    if kind is bool:
        return configparser.ConfigParser.BOOLEAN_STATES.get(text.lower(), text)
    if get_origin(kind) is tuple:
        return tuple(part.strip() for part in text.split(",") if part.strip())
    return text


def _name_place(section: str, error: str) -> str:
    """Put section and key before what msgspec says.

    >>> _name_place("peers", "Expected `float`, got `str` - at `$.lease_s`")
    'peers.lease_s: Expected `float`, got `str`'
    """
    message, _, path = error.partition(" - at `$")
    key = path.rstrip("`")
    return f"{section}{key}: {message}"


def read_settings(path: Path) -> Result[Settings, Failure]:
    """Read and validate an INI file."""
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(Failure(ErrorKind.INVALID_SETTINGS, f"{path}: {error}"))
    return parse_settings(text)
