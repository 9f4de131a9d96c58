"""Union of all messages between instances, and their envelope.

Times on the wire are relative, in milliseconds, since the clocks of instances
are not synchronised.
"""

from dataclasses import dataclass

from fescuekeel.messages.fleet import (
    GossipDigest,
    GossipFacts,
    Hello,
    HelloAnswer,
    Ping,
    PingAnswer,
    ProbeAnswer,
    ProbeAsk,
)
from fescuekeel.messages.forwarding import (
    AdmitAnswer,
    AdmitAsk,
    AllowanceAnswer,
    AllowanceAsk,
    CatalogAsk,
    CatalogNews,
    CatalogPart,
    LoadAnswer,
    LoadAsk,
    PermitAnswer,
    PermitAsk,
    PermitEnded,
    PlacementNews,
    UseNews,
)
from fescuekeel.messages.keys import (
    KeyAnswer,
    KeyClaim,
    KeyCopy,
    KeyPull,
    KeySettle,
)
from fescuekeel.messages.origins import (
    StreamOriginAnswer,
    StreamOriginAsk,
    StreamOriginNews,
)
from fescuekeel.messages.ownership import (
    CopyAnswer,
    CopyAsk,
    HandoverAnswer,
    HandoverOffer,
    LivenessAnswer,
    LivenessAsk,
    RunningAnswer,
    RunningAsk,
)
from fescuekeel.messages.relay import RelayAnswer, RelayAsk
from fescuekeel.messages.tree import (
    TreeAsk,
    TreePart,
    TurnAnswer,
    TurnAsk,
    TurnDone,
)
from fescuekeel.messages.work import (
    CancelWork,
    StartAnswer,
    StartAsk,
    Submit,
    SubmitAnswer,
    WorkChunk,
    WorkEnd,
    WorkStarted,
)

__all__ = ["Envelope", "WireMessage"]

WireMessage = (
    Hello
    | HelloAnswer
    | Ping
    | PingAnswer
    | ProbeAsk
    | ProbeAnswer
    | TreeAsk
    | TreePart
    | Submit
    | SubmitAnswer
    | StartAsk
    | StartAnswer
    | WorkStarted
    | WorkChunk
    | WorkEnd
    | CancelWork
    | TurnAsk
    | TurnAnswer
    | TurnDone
    | KeyClaim
    | KeyAnswer
    | KeySettle
    | KeyCopy
    | KeyPull
    | RunningAsk
    | RunningAnswer
    | HandoverOffer
    | HandoverAnswer
    | CopyAsk
    | CopyAnswer
    | CatalogNews
    | CatalogAsk
    | CatalogPart
    | PlacementNews
    | UseNews
    | LoadAsk
    | LoadAnswer
    | AdmitAsk
    | AdmitAnswer
    | AllowanceAsk
    | AllowanceAnswer
    | GossipFacts
    | GossipDigest
    | RelayAsk
    | RelayAnswer
    | PermitAsk
    | PermitAnswer
    | PermitEnded
    | LivenessAsk
    | LivenessAnswer
    | StreamOriginNews
    | StreamOriginAsk
    | StreamOriginAnswer
)


@dataclass(frozen=True, slots=True)
class Envelope:
    """One message; ``answers`` is the number it replies to, 0 for none."""

    number: int
    answers: int
    body: WireMessage
