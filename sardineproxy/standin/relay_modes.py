"""Faults that a stand-in relay can be told to show."""

import enum
from typing import Annotated

import pydantic


class Mode(enum.Enum):
    """How a relay treats connections."""

    PASS = 'pass'

    #: Reset open connections, and new ones as soon as they are accepted.
    CUT = 'cut'

    #: Accept, and forward no byte and no end until the mode changes.
    SILENT = 'silent'

    #: Forward every byte ``delay_ms`` later, each way.
    DELAY = 'delay'

    #: Send an end towards one side, and still pass what that side sends.
    HALF_CLOSE = 'half_close'


class Scope(enum.Enum):
    """Connections that a setting changes."""

    ALL = 'all'

    #: Connections that are open now; later ones keep the present mode.
    OPEN = 'open'


class Side(enum.Enum):
    """One end of a relayed connection."""

    CLIENT = 'client'
    TARGET = 'target'


class Setting(pydantic.BaseModel):
    """Body of ``POST /control/mode``."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    mode: Mode = Mode.PASS
    scope: Scope = Scope.ALL

    #: Milliseconds by which ``delay`` holds bytes back.
    delay_ms: Annotated[
        float, pydantic.Field(ge=0, le=600_000, allow_inf_nan=False)
    ] = 0

    #: Side that ``half_close`` sends an end to.
    towards: Side = Side.CLIENT
