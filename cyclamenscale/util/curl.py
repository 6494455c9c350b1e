"""Set-up that all single calls by pycurl share."""

import pycurl


def new_curl(url: str, timeout_ms: int = 0) -> pycurl.Curl:
    """Make a handle for calls to one address.

    Proxies from the environment are not used: entries and the platform talk
    by IP numbers. Signals are off, because the calls are made by threads.

    :param url: address of the call.
    :param timeout_ms: bound on the whole call, 0 for none.
    """
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    return curl
