"""Tests of the decoding of workers' responses."""

from cyclamenscale.platform.workers import decode_order_response
from cyclamenscale.util.http_client import HttpResponse


def test_a_refusal_of_a_repeated_request_is_marked():
    """Guards against losing the note that a start was sent twice."""
    for status in (200, 409, 503):
        response = HttpResponse(status, b'{"clock-ms":7}', resent=True)
        assert decode_order_response(response).resent
        response = HttpResponse(status, b'{"clock-ms":7}')
        assert not decode_order_response(response).resent
