"""Test how uploads of files are read."""

import json
import unittest

import aiohttp
from aiohttp import web

from sapphireseam.core import error, fleet
from sapphireseam.entry import batch

TYPE = "multipart/form-data; boundary=b"
FORM = (
    b'--b\r\nContent-Disposition: form-data; name="purpose"\r\n%b\r\n%b\r\n'
    b'--b\r\nContent-Disposition: form-data; name="file"; filename="%b"\r\n\r\n'
    b"{}\r\n--b--\r\n"
)


class LineTest(unittest.TestCase):
    def test_line_whose_path_no_upstream_can_be_sent_is_refused(self):
        current = fleet.Fleet(routes={"r": fleet.Route("/p", "s")})
        line = {"custom_id": "a", "method": "POST", "body": {}}
        for url in ("/p/x", "/p/x y", "/p/\r\nA: b", "/p/\u00e9", "/p/\x00"):
            data = json.dumps(line | {"url": url}).encode()
            try:
                batch.check_lines(data, current, "c")
            except error.RequestError:
                self.assertNotEqual(url, "/p/x")
            else:
                self.assertEqual(url, "/p/x")


class UploadTest(unittest.IsolatedAsyncioTestCase):
    async def test_form_that_cannot_be_read_is_the_callers_error(self):
        refusals = []

        async def answer(request):
            try:
                await batch.BatchApi(None, None, None)._create_file(request, None)
            except error.RequestError as failure:
                refusals.append(failure)
            return web.Response()

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}/"
        forms = (
            (TYPE, FORM % (b"", b"user", b"\xff")),
            (TYPE, FORM % (b"", b"\xff", b"a")),
            (TYPE, FORM % (b"Content-Type: a/b; charset=c\r\n", b"user", b"a")),
            (TYPE, FORM % (b"Content-Transfer-Encoding: c\r\n", b"user", b"a")),
            (TYPE, b"--b\r\nno header\r\n\r\n--b--\r\n"),
            (TYPE, b"no form"),
            ("multipart/form-data", b"a"),
        )
        async with aiohttp.ClientSession() as session:
            for kind, data in forms:
                headers = {"Content-Type": kind}
                async with session.post(url, data=data, headers=headers) as response:
                    self.assertEqual(response.status, 200, data)
        self.assertEqual(len(refusals), len(forms))


if __name__ == "__main__":
    unittest.main()
