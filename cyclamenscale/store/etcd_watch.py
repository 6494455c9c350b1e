"""Watches of the etcd v3 JSON gateway, as streaming responses."""

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

#: Idle time after which TCP keepalive probes are sent.
KEEPALIVE_IDLE_S = 5
#: Interval between TCP keepalive probes.
KEEPALIVE_INTERVAL_S = 2
#: Maximum size of received data that is not decoded yet.
MAX_BUFFER_BYTES = 67108864
#: Interval at which a watch checks whether another thread has closed it;
#: pycurl's multi interface has no wake-up call.
CLOSE_POLL_S = 0.2
#: Read interval of a connection that select() cannot wait for because its
#: file descriptor is above 1023.
NO_SELECT_POLL_S = 0.05


class EtcdWatch(Watch):
    """A watch that reads a streaming response of the gateway.

    :param settings: ``[store]`` gives the address, the connection timeout
        and the silence limit.
    :param prefix: prefix of the keys.
    :param from_revision: first revision to deliver, 0 for the next one.
    """

    def __init__(self, settings: Settings, prefix: str, from_revision: int):
        """Prepare the request; :meth:`events` opens the connection."""
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
        """Close the watch; :meth:`events` then returns."""
        self.closed.set()

    def events(self) -> Iterator[WatchEvent]:
        """Yield events until the watch is closed.

        The watch also fails if data arrive after a longer silence than the
        settings allow, for example after a pause of this process: they were
        in transit for an unknown time and must not count as fresh progress.

        :raises StoreUnavailableError: if the watch ended or fell silent.
        :raises CompactedError: if the start revision is too old.
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
                end_reason = self.poll_connection(multi)
                yield from self.buffered_events()
                if end_reason:
                    reason = decode_body(bytes(self.buffer)).get("error")
                    raise StoreUnavailableError(
                        "watch", str(reason or end_reason)
                    )
        finally:
            multi.remove_handle(curl)
            curl.close()
            multi.close()

    def receive_data(self, chunk: bytes) -> int | None:
        """Append received data to the buffer; write callback of libcurl.

        libcurl drops exceptions raised by this callback.

        :returns: -1 to make libcurl close the connection, else None.
        """
        if self.silence_s() > self.settings.watch_silence_s:
            self.received_late = True
            return -1
        self.last_received_s = time.monotonic()
        if len(self.buffer) + len(chunk) > MAX_BUFFER_BYTES:
            return -1
        self.buffer.extend(chunk)
        return None

    def silence_s(self) -> float:
        """Return the time since data were last received, in seconds."""
        return time.monotonic() - self.last_received_s

    def poll_connection(self, multi: pycurl.CurlMulti) -> str:
        """Wait briefly for data and read them into the buffer.

        :returns: why the stream ended, empty if it has not ended.
        :raises StoreUnavailableError: if the silence limit is exceeded.
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
        """Remove complete lines from the buffer and yield their events."""
        *lines, incomplete = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(incomplete)
        for line in lines:
            if self.closed.is_set():
                return
            event = decode_watch_message(decode_body(line))
            if event:
                yield event


def set_common_options(
    curl: pycurl.Curl, address: str, path: str, request: dict
) -> None:
    """Set the curl options common to all requests."""
    curl.setopt(pycurl.URL, f"http://{address}{path}")
    curl.setopt(pycurl.POSTFIELDS, to_json(request))
    curl.setopt(
        pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"]
    )
    # Signals for timeouts could interrupt other threads.
    curl.setopt(pycurl.NOSIGNAL, 1)
    # Ignore proxy settings of the environment; the store is never behind a
    # proxy.
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.TCP_KEEPALIVE, 1)
    curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
