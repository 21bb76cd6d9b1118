"""Control interface of the stand-in platform, under ``/control``."""

import functools
from typing import Annotated, Any, Awaitable, Callable

import pydantic
from aiohttp import web

from sardineproxy.process import listing
from sardineproxy.standin import platform_faults, platform_server

#: Upper limit of the lag of the VM list.
MAX_LAG_S = 3600


class _RequestModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', strict=True, frozen=True)


class _Down(_RequestModel):
    down: bool


class _Slow(_RequestModel):
    ms: Annotated[float, pydantic.Field(ge=0, le=platform_faults.MAX_SLOW_MS)]


class _StaleReads(_RequestModel):
    stale: bool


class _ListLag(_RequestModel):
    seconds: Annotated[float, pydantic.Field(ge=0, le=MAX_LAG_S)]


class _LoseAnswers(_RequestModel):
    writes: Annotated[
        int, pydantic.Field(ge=0, le=platform_faults.MAX_LOST_ANSWERS)
    ]


class _Vms(_RequestModel):
    vms: list[dict[str, Any]]


_Action = Callable[[Any], dict[str, Any]]


class Control:
    """Handlers of control requests."""

    def __init__(self, *, server: platform_server.PlatformServer) -> None:
        """Create handlers that change the faults and VM list of ``server``."""
        self._server = server

    def add_routes(self, app: web.Application) -> None:
        """Add the control routes to ``app``."""
        app.add_routes(
            [
                web.post('/control/down', self._make_handler(self._set_down)),
                web.post('/control/slow', self._make_handler(self._set_slow)),
                web.post(
                    '/control/stale-reads',
                    self._make_handler(self._set_stale_reads),
                ),
                web.post(
                    '/control/list-lag', self._make_handler(self._set_list_lag)
                ),
                web.post(
                    '/control/lose-answers',
                    self._make_handler(self._set_lose_answers),
                ),
                web.post('/control/vms', self._make_handler(self._set_vms)),
                web.get('/control/state', self._get_state),
            ]
        )

    def _make_handler(
        self, action: _Action
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        return functools.partial(_run_action, action)

    def _set_down(self, document: Any) -> dict[str, Any]:
        self._server.faults.down = _Down.model_validate(document).down
        return {}

    def _set_slow(self, document: Any) -> dict[str, Any]:
        self._server.faults.slow_ms = _Slow.model_validate(document).ms
        return {}

    def _set_stale_reads(self, document: Any) -> dict[str, Any]:
        is_stale = _StaleReads.model_validate(document).stale
        table = self._server.store.table
        self._server.faults.stale_table = table.copy() if is_stale else None
        return {}

    def _set_list_lag(self, document: Any) -> dict[str, Any]:
        lag = _ListLag.model_validate(document)
        self._server.faults.list_lag_s = lag.seconds
        return {}

    def _set_lose_answers(self, document: Any) -> dict[str, Any]:
        lose_answers = _LoseAnswers.model_validate(document)
        self._server.faults.lose_answers = lose_answers.writes
        return {}

    def _set_vms(self, document: Any) -> dict[str, Any]:
        vm_documents = _Vms.model_validate(document).vms
        vm_list = listing.from_document({'revision': 0, 'vms': vm_documents})
        if vm_list.is_err():
            raise ValueError(vm_list.unwrap_err())
        revision = self._server.store.set_vms(
            vm_list.unwrap().vms, now=self._server.now()
        )
        return {'revision': revision}

    async def _get_state(self, req: web.Request) -> web.Response:
        faults = self._server.faults
        return web.json_response(
            {
                'counts': dict(self._server.counts),
                'down': faults.down,
                'slow_ms': faults.slow_ms,
                'stale_reads': faults.stale_table is not None,
                'list_lag_s': faults.list_lag_s,
                'lose_answers': faults.lose_answers,
                'list_revision': self._server.store.newest_list().revision,
                'rows': len(self._server.store.table),
                'objects': len(self._server.store.objects),
            }
        )


async def _run_action(action: _Action, req: web.Request) -> web.Response:
    try:
        document = action(await platform_server.read_json(req))
    except ValueError as exc:
        return web.Response(status=400, text=str(exc))
    return web.json_response(document)
