"""Constants of the allowance component."""

from typing import Final

DOMAIN: Final = "allowance"

# A grant that is not spent lapses after this, in seconds. What is granted in a
# window and spent in a later one exceeds a limit by no more than this adds.
GRANT_TTL_S: Final = 1.0
# Beside what is needed, this part of what there is room for, or comes in while
# a grant lasts, is granted, so that few requests wait for an answer.
SPARE_SHARE: Final = 1 / 8
# The part of a window that only what is needed is granted from.
RESERVED_SHARE: Final = 0.2
# How fast the room of a new home grows, as a share of the rate: others may
# have granted a whole window just before.
COME_IN_SHARE: Final = 0.75
# A question to an account's home stays open for so long: a message there and
# one back, several times over.
ASK_TIMEOUT_S: Final = 0.25
# A home that did not answer is left alone for so long. Its deputies are asked
# meanwhile, and if they are silent, too, the account lives on this instance's
# own part of the limit.
HOME_SILENT_S: Final = 1.0
# The home of an account, and its deputies in turn while it does not answer: of
# four, one is within reach in nearly every cut.
HOMES: Final = 4
# Room that is there within this time is waited for instead of refusing, once.
WORTH_WAITING_S: Final = 0.1
# What callers beyond a limit are told to wait lies between these.
SHORTEST_WAIT_S: Final = 0.1
LONGEST_WAIT_S: Final = 4.0
# After a refusal its account's home is asked again so soon: a smaller request
# may find room, and what others did not need comes back.
RECHECK_S: Final = 0.5
# Refused requests count towards the wait of later ones for so long.
REFUSED_MEMORY_S: Final = 1.0
# Instances that were lost count as spending for so long, where nothing makes
# them stop sooner.
LOST_MEMORY_S: Final = 60.0
# Those that stop without word of the newest configuration do so within the
# bound for keys that were taken away, and what is noticed late.
LOST_MARGIN_S: Final = 2.0
MAX_ACCOUNTS: Final = 4096
