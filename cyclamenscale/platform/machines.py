"""HTTP client of the platform's machines; stores the progress of waves."""

from concurrent.futures import Future

from msgspec import json

from cyclamenscale.errors import FieldError
from cyclamenscale.jobs.keys import LEADER, wave_key
from cyclamenscale.jobs.model import Machine, WaveRecord
from cyclamenscale.jobs.ports import MachineCalls, StoreCalls
from cyclamenscale.platform import decode
from cyclamenscale.platform.names import (
    FENCE_HEADER,
    HOLDER_HEADER,
    WAVE_STATUS_PREFIX,
)
from cyclamenscale.platform.workers import decode_response
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import Compare, Put
from cyclamenscale.util.codec import encode_record, from_json
from cyclamenscale.util.http_client import HttpClient, HttpResponse

#: Timeout of a call; shorter than the least remaining time of a confirmed
#: leader lease.
CALL_TIMEOUT_MS = 1000

#: Maximum number of pages of the machine list that are read.
MAX_PAGES = 200


def refusal_reason(answer: HttpResponse) -> str:
    """Return why an order was refused, or an empty string if it wasn't."""
    if answer.status == 200:
        return ""
    if answer.status == 409:
        return str(from_json(answer.body, "machine").get("reason", "busy"))
    # 429 and 5xx don't depend on the machine; the order is repeated.
    return "refused" if answer.status == 400 else "busy"


class HttpMachines(MachineCalls):
    """Client of the platform's machine API.

    :param settings: ``[platform] address`` is used.
    :param client: the HTTP client.
    :param store: store for the progress of waves.
    """

    def __init__(
        self, settings: Settings, client: HttpClient, store: StoreCalls
    ):
        """Initialise with the address of the API."""
        self.base = f"http://{settings.platform.address}"
        self.client = client
        self.store = store

    def list_machines(self) -> Future:
        """Read all pages of the machine list."""
        outcome: Future = Future()
        found: list[Machine] = []
        page_tokens: list[str] = []

        def request_page(token: str) -> None:
            page_tokens.append(token)
            path = "/machines"
            if token:
                path += f"?page-token={token}"
            call = self.client.request(
                "GET", self.base + path, timeout_ms=CALL_TIMEOUT_MS
            )
            call.add_done_callback(handle_page)

        def handle_page(done: Future) -> None:
            if done.exception():
                outcome.set_exception(done.exception())
                return
            answer = done.result()
            if answer.status != 200:
                outcome.set_result(None)
                return
            try:
                machines, token = decode.machines(answer.body)
            except FieldError as error:
                outcome.set_exception(error)
                return
            found.extend(machines)
            if token and len(page_tokens) < MAX_PAGES:
                request_page(str(token))
            else:
                outcome.set_result(found)

        request_page("")
        return outcome

    def order(self, path: str, body: dict, holder: str, fence: int) -> Future:
        """Send an order about a machine."""
        call = self.client.request(
            "POST",
            self.base + path,
            json.encode(body),
            (f"{HOLDER_HEADER}: {holder}", f"{FENCE_HEADER}: {fence}"),
            CALL_TIMEOUT_MS,
        )
        return decode_response(call, refusal_reason)

    def move(self, machine: str, pool: str, holder: str, fence: int) -> Future:
        """Move a machine to another pool."""
        body = {"machine": machine, "pool": pool}
        return self.order("/machine-move", body, holder, fence)

    def start_maintenance(
        self, machine: str, wave: int, holder: str, fence: int
    ) -> Future:
        """Take a machine down for maintenance."""
        body = {"machine": machine, "wave": wave}
        return self.order("/machine-upkeep", body, holder, fence)

    def report_wave(
        self, wave: int, record: WaveRecord, fence: int, revision: int
    ) -> Future:
        """Store the progress of a wave if this entry is still the leader."""
        state = "completed" if record.completion_reported else "active"
        status = json.encode({"wave": wave, "state": state})
        return self.store.txn(
            [Compare(LEADER, fence), Compare(wave_key(wave), revision)],
            [
                Put(f"{WAVE_STATUS_PREFIX}{wave}", status),
                Put(wave_key(wave), encode_record(record)),
            ],
        )
