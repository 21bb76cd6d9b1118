"""Fault modes of a stand-in endpoint."""

import enum
from typing import Annotated

import pydantic


class Mode(enum.Enum):
    """Treatment of tasks by an endpoint."""

    NORMAL = 'normal'

    #: Record the start of every task and respond with 500 at once.
    FAIL = 'fail'

    #: Respond with 503 and start nothing.
    REFUSE = 'refuse'

    #: Run the task and never respond.
    SILENT = 'silent'

    #: Run the task, send half of the response body and reset the connection.
    CUT = 'cut'

    #: Run the task, send half of the declared length and close normally.
    SHORT = 'short'

    #: Run the task and respond ``delay_ms`` later.
    DELAY = 'delay'

    #: Send ``Connection: close`` and close after each response.
    CLOSE = 'close'

    #: Close after each response without ``Connection: close``.
    CLOSE_IDLE = 'close_idle'


class Setting(pydantic.BaseModel):
    """Body of ``POST /control/mode``."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    mode: Mode = Mode.NORMAL

    #: Delay of responses in the mode ``delay``.
    delay_ms: Annotated[
        float, pydantic.Field(ge=0, le=600_000, allow_inf_nan=False)
    ] = 0
