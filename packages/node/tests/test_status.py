"""Tests of the loopback server."""

import json

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from ibisspoke_node.status import status_server

ANNOUNCEMENT = {
    "service": "ordering",
    "host": "127.0.0.1",
    "port": 81,
    "n_slots": 3,
    "n_connections": 9,
}


async def _ask(path: str, **options: object) -> tuple[HTTPResponse, list]:
    announced: list = []
    async with status_server(announced.append, lambda: {"id": "n1"}, 0) as port:
        response = await AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{port}{path}", raise_error=False, **options
        )
    return response, announced


async def test_status_is_json():
    response, _ = await _ask("/status")
    assert (response.code, json.loads(response.body)) == (200, {"id": "n1"})


async def test_announcement_is_taken():
    response, announced = await _ask(
        "/announce", method="POST", body=json.dumps({**ANNOUNCEMENT, "draining": True})
    )
    assert response.code == 204
    assert announced[0].service == "ordering"
    assert announced[0].capacity == (3, 9, True, False)


@pytest.mark.parametrize(
    ("body", "detail"),
    [
        ("{", "truncated"),
        ('{"service": "a"}', "missing host"),
        ('{"port": "x"}', "port"),
    ],
)
async def test_bad_announcement_names_the_remedy(body, detail):
    response, announced = await _ask("/announce", method="POST", body=body)
    problem = json.loads(response.body)
    assert response.code == 400
    assert detail in problem["detail"]
    assert "INTERFACE.md" in problem["remedy"]
    assert not announced


async def test_unknown_path_names_the_known_ones():
    response, _ = await _ask("/nothing")
    assert response.code == 404
    assert "/status" in json.loads(response.body)["remedy"]
