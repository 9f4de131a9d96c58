"""Constants of the endpoints component."""

from typing import Final

DOMAIN: Final = "endpoints"

LEAVING_TOPIC: Final = "leaving"
# How long an endpoint counts as leaving after the store has last listed it: an
# instance whose catalog is older may still list it.
LEAVING_TTL_S: Final = 600.0
# Endpoints that leave and are still listed are announced again after this,
# before the announcement expires at peers.
LEAVING_REFRESH_S: Final = 300.0
MAX_LEAVING: Final = 1024
# The interval at which announcements are checked. Its spread lets one instance
# announce for all.
MIN_CHECK_S: Final = 15.0
MAX_CHECK_S: Final = 45.0
