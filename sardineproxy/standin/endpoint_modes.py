"""Faults that a stand-in endpoint can be told to show."""

import enum
from typing import Annotated

import pydantic


class Mode(enum.Enum):
    """How an endpoint treats tasks."""

    NORMAL = 'normal'

    #: Start every task and answer 500 at once.
    FAIL = 'fail'

    #: Answer 503 and start nothing.
    REFUSE = 'refuse'

    #: Start the task and never answer.
    SILENT = 'silent'

    #: Run the task, send half of the answer and reset the connection.
    CUT = 'cut'

    #: Run the task and close in order after half of the declared length.
    SHORT = 'short'

    #: Run the task and answer ``delay_ms`` later.
    DELAY = 'delay'

    #: Announce and close the connection after each answer.
    CLOSE = 'close'

    #: Close the connection after each answer without a notice.
    CLOSE_IDLE = 'close_idle'


class Setting(pydantic.BaseModel):
    """Body of ``POST /control/mode``."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    mode: Mode = Mode.NORMAL

    #: Milliseconds by which ``delay`` holds answers back.
    delay_ms: Annotated[
        float, pydantic.Field(ge=0, le=600_000, allow_inf_nan=False)
    ] = 0
