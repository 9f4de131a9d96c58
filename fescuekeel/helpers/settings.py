"""Settings of one daemon, read from an INI file."""

import configparser
from pathlib import Path

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    field_validator,
    model_validator,
)
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


class Section(BaseModel):
    """Validate one section; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceSettings(Section):
    """Name this instance and say where it is."""

    id: str = Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")
    data_centre: str = Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")
    shutdown_s: float = Field(default=30.0, gt=0)


class CallersSettings(Section):
    """Where callers connect."""

    address: str
    tls_certificate: str = ""
    tls_key: str = ""


class OperatorsSettings(Section):
    """Where operators connect, and the SHA-256 of their token in hex."""

    address: str
    token_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")


class PeersSettings(Section):
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

    @field_validator("keys", "seeds", mode="before")
    @classmethod
    def split_commas(cls, value: object) -> object:
        """Split a comma-separated text."""
        if not isinstance(value, str):
            return value
        return tuple(part.strip() for part in value.split(",") if part.strip())

    @field_validator("keys")
    @classmethod
    def check_keys(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        """Ask for one or two keys of 16 characters or more."""
        if not 1 <= len(value) <= 2:
            raise ValueError("one or two keys are needed")
        if any(len(key) < 16 for key in value):
            raise ValueError("a key has 16 characters or more")
        return value


class PlatformSettings(Section):
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

    @model_validator(mode="after")
    def check_one_interface(self) -> "PlatformSettings":
        """Ask for the URLs or for a dialect, and not for both."""
        urls = bool(self.config_url and self.live_url)
        spoken = bool(self.dialect and self.dialect_module and self.store)
        if urls == spoken:
            raise ValueError(
                "either config_url and live_url are needed,"
                " or dialect, dialect_module and store"
            )
        return self


class ForwardingSettings(Section):
    """The bounds that the platform sets for forwarding.

    ``lease_s`` is how long two holders of orders to one endpoint keep apart;
    ``fenced`` says that endpoints refuse the orders of an earlier holder. The
    retry budget is shared by all instances: ``retry_ratio`` of the requests in
    ``retry_window_s``, and ``retry_slack`` more. A configuration has to be in
    force within ``change_bound_s`` after it was published, and an endpoint
    gets nothing more from ``leaving_bound_s`` on after it said that it leaves.
    """

    ready_address: str = ""
    metrics_address: str = ""
    lease_s: float = Field(default=3.0, gt=0)
    fenced: bool = False
    retry_ratio: float = Field(default=0.2, ge=0)
    retry_slack: float = Field(default=10.0, ge=0)
    retry_window_s: float = Field(default=10.0, gt=0)
    change_bound_s: float = Field(default=2.0, gt=0)
    leaving_bound_s: float = Field(default=2.0, gt=0)


class Settings(Section):
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
        raw = {name: dict(parser[name]) for name in parser.sections()}
        return Success(Settings.model_validate(raw))
    except configparser.Error as error:
        return Err(Failure(ErrorKind.INVALID_SETTINGS, str(error)))
    except ValidationError as error:
        lines = [
            f"{'.'.join(map(str, item['loc']))}: {item['msg']}"
            for item in error.errors()
        ]
        return Err(Failure(ErrorKind.INVALID_SETTINGS, "; ".join(lines)))


def read_settings(path: Path) -> Result[Settings, Failure]:
    """Read and validate an INI file."""
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(Failure(ErrorKind.INVALID_SETTINGS, f"{path}: {error}"))
    return parse_settings(text)
