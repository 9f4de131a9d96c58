"""Constants of the plain component."""

from typing import Final

DOMAIN: Final = "plain"

PATH_REPORT: Final = "/report"
HEADER_NOT_RUN: Final = "X-Not-Run"
DEFAULT_CONTENT_TYPE: Final = "application/octet-stream"
