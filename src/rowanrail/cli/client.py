"""HTTP client for the operators' interface of control nodes, ``sql_control.http_api``.

Any control node can answer, so the nodes are tried one after the other.
"""

import asyncio
from typing import Any

import aiohttp
import msgspec

from rowanrail.kernel.errors import RowanrailError

# For each control node, before the next one is tried.
REQUEST_TIMEOUT_SECONDS = 12.0
CONNECT_TIMEOUT_SECONDS = 3.0


class ControlAnswer(msgspec.Struct):
    """A control node's answer."""

    status: int
    body: Any


class ControlUnavailableError(RowanrailError):
    """No control node could serve the request."""


class ControlClient:
    """Sends requests to the first control node that answers."""

    def __init__(self, control_nodes: list[str], token: str) -> None:
        self._control_nodes = control_nodes
        self._token = token

    def request(self, method: str, path: str, body: Any = None) -> ControlAnswer:
        """Send a request and return the answer.

        A change may reach several nodes; its change id makes it idempotent.

        :raises ControlUnavailableError: if no node serves the request.
        """
        return asyncio.run(self._request(method, path, body))

    async def _request(self, method: str, path: str, body: Any) -> ControlAnswer:
        problems: list[str] = []
        timeout = aiohttp.ClientTimeout(
            total=REQUEST_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS
        )
        headers = {"Authorization": f"Bearer {self._token}"}
        data = msgspec.json.encode(body) if body is not None else None
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            for control in self._control_nodes:
                try:
                    url = f"http://{control}{path}"
                    async with session.request(method, url, data=data) as response:
                        answer = ControlAnswer(
                            response.status, msgspec.json.decode(await response.read())
                        )
                except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
                    problems.append(f"{control}: {error or 'no answer in time'}")
                    continue
                if answer.status != 503:
                    return answer
                problems.append(f"{control}: {answer.body.get('error')}")
        raise ControlUnavailableError(
            "no control node could serve the request: " + "; ".join(problems), step=method
        )
