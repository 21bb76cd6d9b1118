"""Fault modes of a stand-in relay."""

import enum
from typing import Annotated

import pydantic


class Mode(enum.Enum):
    """Treatment of connections by a relay."""

    PASS = 'pass'

    #: Reset open connections, and new ones as soon as they are accepted.
    CUT = 'cut'

    #: Accept, but forward neither data nor end of file until the mode changes.
    SILENT = 'silent'

    #: Forward every byte ``delay_ms`` later, in both directions.
    DELAY = 'delay'

    #: Send end of file to one side; still forward what that side sends.
    HALF_CLOSE = 'half_close'


class Scope(enum.Enum):
    """Connections that a setting changes."""

    ALL = 'all'

    #: Connections that are open now; later ones keep the former setting.
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

    #: Delay of data in the mode ``delay``.
    delay_ms: Annotated[
        float, pydantic.Field(ge=0, le=600_000, allow_inf_nan=False)
    ] = 0

    #: Side that receives end of file in the mode ``half_close``.
    towards: Side = Side.CLIENT
