"""Common options of blocking pycurl calls."""

import pycurl


def new_curl(url: str, timeout_ms: int = 0) -> pycurl.Curl:
    """Create a handle for calls to one URL.

    Proxies from the environment are ignored, since entries and the platform
    are addressed by IP address. Signals are off, because threads make the
    calls.

    :param url: URL of the call.
    :param timeout_ms: timeout of the whole call, 0 for none.
    """
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    return curl
