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
    "QuarantineSettings",
    "ResourcesSettings",
    "Settings",
    "parse_settings",
    "read_settings",
]


Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Fingerprint = Annotated[str, Meta(pattern=r"^[0-9a-f]{32}$")]
Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(gt=0, lt=1)]

MIN_KEY_LENGTH = 16


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all sections; unknown keys are errors."""


class InstanceSettings(Section, frozen=True):
    """Identity, location and process of this instance.

    ``data_centres`` are the names of all data centres that have instances;
    without them only those count that this instance has had contact with. The
    process ends when its event loop is blocked while it uses
    ``blocked_loop_cpu_s`` seconds of processor time; zero disables that.
    """

    id: Name
    data_centre: Name
    data_centres: tuple[Name, ...] = ()
    shutdown_s: Positive = 30.0
    blocked_loop_cpu_s: NonNegative = 5.0


class CallersSettings(Section, frozen=True):
    """Listener for callers."""

    address: str
    tls_certificate: str = ""
    tls_key: str = ""


class OperatorsSettings(Section, frozen=True):
    """Listener for operators, and the SHA-256 of their token in hex."""

    address: str
    token_sha256: Digest


class PeersSettings(Section, frozen=True, kw_only=True):
    """Listener for other instances, and the shared keys.

    ``keys`` has one or two secrets separated by commas: the first one signs,
    and both are accepted, so that keys can be rotated without downtime.
    ``seeds`` are addresses used until the live list can be read.
    ``advertised_address`` is the address for other instances if it differs
    from the one that is bound, such as behind NAT.
    """

    address: str
    advertised_address: str = ""
    keys: tuple[str, ...]
    seeds: tuple[str, ...] = ()
    tls_certificate: str = ""
    tls_key: str = ""
    tls_ca: str = ""

    def __post_init__(self) -> None:
        """Validate the number and the length of the keys."""
        if not 1 <= len(self.keys) <= 2:
            raise ValueError("keys: expected one or two keys")
        if any(len(key) < MIN_KEY_LENGTH for key in self.keys):
            raise ValueError(
                f"keys: each key needs at least {MIN_KEY_LENGTH} characters"
            )


class PlatformSettings(Section, frozen=True):
    """Location and kind of the platform's services.

    With the two URLs the instance serves completions from the published tree.
    With ``dialect``, the name of a registered dialect, it forwards requests by
    the catalog in the platform's store. ``dialect_module`` is a package in the
    folder ``dialect_path`` that registers the dialect, and ``store`` is the
    store's address.
    """

    config_url: str = ""
    live_url: str = ""
    dialect: str = ""
    dialect_path: str = ""
    dialect_module: str = ""
    store: str = ""

    def __post_init__(self) -> None:
        """Require either the URLs or a dialect."""
        urls = bool(self.config_url and self.live_url)
        spoken = bool(self.dialect and self.dialect_module and self.store)
        if urls == spoken:
            raise ValueError(
                "expected either config_url and live_url,"
                " or dialect, dialect_module and store"
            )


class ForwardingSettings(Section, frozen=True):
    """Bounds and limits for forwarding.

    ``lease_s`` is the minimum time between the last order of one holder of an
    endpoint and the first order of the next; ``fenced`` says that endpoints
    refuse orders of earlier holders. The retry budget is shared by all
    instances: ``retry_ratio`` of the requests in ``retry_window_s``, plus
    ``retry_slack``. A configuration must be in force within ``change_bound_s``
    of its publication. An endpoint receives no requests later than
    ``leaving_bound_s`` after it announced that it is leaving. A revoked key is
    rejected after ``revoked_bound_s``, even by instances that are partitioned;
    zero sets no such bound. ``limit_window_s`` is the window of the client
    accounts' rate limits.
    """

    ready_address: str = ""
    metrics_address: str = ""
    lease_s: Positive = 3.0
    fenced: bool = False
    retry_ratio: NonNegative = 0.2
    retry_slack: NonNegative = 10.0
    retry_window_s: Positive = 10.0
    change_bound_s: Positive = 2.0
    leaving_bound_s: Positive = 2.0
    revoked_bound_s: NonNegative = 0.0
    limit_window_s: Positive = 8.0


class ResourcesSettings(Section, frozen=True):
    """What the machine gives this process, and the part that clients may use.

    ``memory_mb`` is the memory in MiB and ``descriptors`` the number of
    descriptors. Zero takes those of the machine, 512 MiB at most, and of the
    process's limits.
    Clients' connections, with all that was read from them or is to be written
    to them, hold at most ``client_memory_share`` of the memory, and they take
    at most ``client_descriptor_share`` of the descriptors. A request that is
    not complete after ``slow_request_s``, and for each second more has not
    brought ``min_bytes_per_s``, is closed.
    """

    memory_mb: NonNegative = 0.0
    descriptors: NonNegative = 0.0
    client_memory_share: Share = 0.25
    client_descriptor_share: Share = 0.4
    slow_request_s: Positive = 15.0
    min_bytes_per_s: Positive = 2048.0


class QuarantineSettings(Section, frozen=True):
    """Requests that are refused because they crash endpoints.

    ``released`` has the fingerprints of requests and of parts of prompts,
    separated by commas, whose past crashes are dropped by all instances.
    """

    released: tuple[Fingerprint, ...] = ()


class Settings(Section, frozen=True):
    """All settings of one daemon, with a field per section."""

    instance: InstanceSettings
    callers: CallersSettings
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    forwarding: ForwardingSettings = ForwardingSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    resources: ResourcesSettings = ResourcesSettings()

    @property
    def interface(self) -> str:
        """Return the interface that the instance serves.

        It is ``forwarding`` or ``completions``, as in the manifests.
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
            raise ValueError(f"{name}: unknown section")
        read[name] = _read_section(name, texts, types_by_name[name])
    for item in known:
        if item.required and item.name not in read:
            raise ValueError(f"{item.name}: missing section")
    return Settings(**read)  # type: ignore[arg-type]


def _read_section(name: str, texts: dict[str, str], kind: type[Section]) -> Section:
    """Convert one section from its INI strings."""
    fields_by_key = {item.name: item for item in msgspec.structs.fields(kind)}
    for key, item in fields_by_key.items():
        if item.required and key not in texts:
            raise ValueError(f"{name}.{key}: missing key")
    values = {}
    for key, text in texts.items():
        if key not in fields_by_key:
            raise ValueError(f"{name}.{key}: unknown key")
        values[key] = _read_text(text, fields_by_key[key].type)
    try:
        return msgspec.convert(values, kind, strict=False)
    except msgspec.ValidationError as error:
        raise ValueError(_prefix_error(name, str(error))) from error


def _read_text(text: str, kind: Any) -> object:
    """Convert lists and booleans, which INI has no types for."""
    if kind is bool:
        return configparser.ConfigParser.BOOLEAN_STATES.get(text.lower(), text)
    if get_origin(kind) is tuple:
        return tuple(part.strip() for part in text.split(",") if part.strip())
    return text


def _prefix_error(section: str, error: str) -> str:
    """Prefix an error of msgspec with section and key.

    >>> _prefix_error("peers", "Expected `float`, got `str` - at `$.lease_s`")
    'peers.lease_s: Expected `float`, got `str`'
    """
    message, _, path = error.partition(" - at `$")
    key = path.rstrip("`")
    return f"{section}{key}: {message}"


def read_settings(path: Path) -> Result[Settings, Failure]:
    """Read and validate an INI file.

    A file that ends in the middle of a line is invalid: it may still be
    written, and the part of a value that is there may be valid as well.
    """
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(Failure(ErrorKind.INVALID_SETTINGS, f"{path}: {error}"))
    if text and not text.endswith("\n"):
        detail = f"{path}: incomplete, the last line has no line break"
        return Err(Failure(ErrorKind.INVALID_SETTINGS, detail))
    return parse_settings(text)
