"""Watches of the etcd v3 JSON gateway: streaming answers, by pycurl."""

import time
from collections.abc import Iterator
from threading import Event

import pycurl

from cyclamenscale.errors import StoreUnavailableError
from cyclamenscale.settings import Settings
from cyclamenscale.store.etcd_json import (
    decode_body,
    decode_watch_message,
    encode_base64,
)
from cyclamenscale.store.port import Watch, WatchEvent
from cyclamenscale.util.codec import to_json
from cyclamenscale.util.keys import prefix_end

KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
MAX_BUFFER_BYTES = 67108864
# How soon a watch notices close() from another thread; pycurl's multi
# interface has no wake-up.
CLOSE_POLL_S = 0.2
# How often a connection is read that select() cannot wait for, because it
# has a descriptor above 1023.
NO_SELECT_POLL_S = 0.05


class EtcdWatch(Watch):
    """A watch on a streaming answer of the gateway.

    :param settings: the whole settings.
    :param prefix: prefix of the keys.
    :param from_revision: first revision to deliver, 0 for the next one.
    """

    def __init__(self, settings: Settings, prefix: str, from_revision: int):
        """Keep what to watch; :meth:`events` connects."""
        self.settings = settings.store
        self.closed = Event()
        self.buffer = bytearray()
        self.last_received_s = 0.0
        self.received_late = False
        self.request = {
            "create_request": {
                "key": encode_base64(prefix or "\0"),
                "range_end": encode_base64(prefix_end(prefix)),
                "start_revision": str(from_revision),
                "progress_notify": True,
            }
        }

    def close(self) -> None:
        """End the watch; :meth:`events` then returns."""
        self.closed.set()

    def events(self) -> Iterator[WatchEvent]:
        """Yield events until the watch is closed.

        Data that arrive after a longer silence than the settings allow are
        not used either: they were on the way for an unknown time, as after
        a pause of this process, and would pass for fresh progress.
        """
        multi, curl = pycurl.CurlMulti(), pycurl.Curl()
        set_common_options(
            curl, self.settings.address, "/v3/watch", self.request
        )
        curl.setopt(pycurl.WRITEFUNCTION, self.receive_data)
        connect_ms = int(self.settings.call_timeout_s * 1000)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, connect_ms)
        multi.add_handle(curl)
        self.last_received_s = time.monotonic()
        try:
            while not self.closed.is_set():
                ended = self.poll_connection(multi)
                yield from self.buffered_events()
                if ended:
                    reason = decode_body(bytes(self.buffer)).get("error")
                    raise StoreUnavailableError("watch", str(reason or ended))
        finally:
            multi.remove_handle(curl)
            curl.close()
            multi.close()

    def receive_data(self, part: bytes) -> int | None:
        """Take data from the connection; -1 makes libcurl end it.

        libcurl drops exceptions of this callback.
        """
        if self.silence_s() > self.settings.watch_silence_s:
            self.received_late = True
            return -1
        self.last_received_s = time.monotonic()
        if len(self.buffer) + len(part) > MAX_BUFFER_BYTES:
            return -1
        self.buffer.extend(part)
        return None

    def silence_s(self) -> float:
        """Return for how long nothing was heard, in seconds."""
        return time.monotonic() - self.last_received_s

    def poll_connection(self, multi: pycurl.CurlMulti) -> str:
        """Read what has arrived, after waiting a moment for it.

        :returns: why the stream ended, empty if it did not.
        :raises StoreUnavailableError: if the stream is silent.
        """
        if multi.select(CLOSE_POLL_S) < 0:
            self.closed.wait(NO_SELECT_POLL_S)
        if not self.closed.is_set():
            multi.perform()
        if (
            self.received_late
            or self.silence_s() > self.settings.watch_silence_s
        ):
            limit_s = self.settings.watch_silence_s
            raise StoreUnavailableError("watch", f"silent for {limit_s} s")
        _, done, failed = multi.info_read()
        if failed:
            return failed[0][2]
        return "the stream ended" if done else ""

    def buffered_events(self) -> Iterator[WatchEvent]:
        """Yield the events of the complete lines in the buffer."""
        *lines, rest = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(rest)
        for line in lines:
            if self.closed.is_set():
                return
            event = decode_watch_message(decode_body(line))
            if event:
                yield event


def set_common_options(
    curl: pycurl.Curl, address: str, path: str, request: dict
) -> None:
    """Set the options that all requests share."""
    curl.setopt(pycurl.URL, f"http://{address}{path}")
    curl.setopt(pycurl.POSTFIELDS, to_json(request))
    curl.setopt(
        pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"]
    )
    # Timeouts by signals would hit other threads.
    curl.setopt(pycurl.NOSIGNAL, 1)
    # The store is never behind the proxy that the environment may name.
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.TCP_KEEPALIVE, 1)
    curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
