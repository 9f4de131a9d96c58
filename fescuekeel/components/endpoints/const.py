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

# The first request after a back-off is delayed by up to this share of the time
# that the endpoint named, and by no more than the maximum.
RETURN_DELAY_SHARE: Final = 0.25
MAX_RETURN_DELAY_S: Final = 1.0
# Requests return to an endpoint in steps for at most this long, or until so
# many may be under way.
RETURN_S: Final = 2.0
FULL_WINDOW: Final = 8
# Endpoints whose window is full are asked about again after this.
WINDOW_RECHECK_S: Final = 0.03
