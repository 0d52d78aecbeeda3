"""One runner as a process of its own, which can be killed. Its first line of output is its id and its
address; each further line names a request that began to run."""

import argparse
import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(__file__))

from world import Runner
from world import seal
from world import send


class Output:
    """Takes the place of the record: each line goes to the standard output."""

    def line(self, text):
        print(text, flush=True)


class RemoteStore:
    """Collects what the runner writes; the heartbeats send it."""

    def __init__(self):
        self.spec = None

    def put(self, _kind, _name, spec):
        self.spec = spec


class Host:
    """What a runner needs of the world."""

    def __init__(self):
        self.record = Output()
        self.store = RemoteStore()
        self.runs = []


def main():
    args = argparse.ArgumentParser()
    args.add_argument("--store", required=True)
    args.add_argument("--service", required=True)
    args.add_argument("--zone", required=True)
    args.add_argument("--slots", type=int, default=16)
    args.add_argument("--engine", action="store_true")
    args.add_argument("--framing", choices=["chunks", "none"], default="chunks")
    args.add_argument("--events", type=int, default=20)
    args.add_argument("--pause-ms", type=float, default=100)
    asyncio.run(run(args.parse_args()))


async def run(args):
    host = Host()
    runner = Runner(host, args.service, args.zone, args.slots, args.engine)

    async def handle(runner, request, writer):
        if args.framing == "chunks":
            await answer_in_chunks(runner, request, writer, args)
        else:
            await answer_until_close(runner, request, writer, args)

    runner.handle = handle
    await runner.start()
    print(json.dumps({"id": runner.id, "address": runner.addr}), flush=True)
    ip, port = args.store.split(":")
    while True:
        runner.sequence += 1
        runner.register()
        spec = host.store.spec
        body = json.dumps({"metadata": {"name": runner.id}, "spec": spec}).encode()
        path = f"/objects/servers/{runner.id}"
        got = await send(ip, int(port), "PUT", path, {"Content-Length": len(body)}, body, timeout=1)
        if got["status"] == 404:
            path = "/objects/servers"
            await send(ip, int(port), "POST", path, {}, body, timeout=1)
        await asyncio.sleep(1.2)


async def answer_in_chunks(runner, request, writer, args):
    if args.engine:
        pause_s = args.pause_ms / 1000
        await runner.answer_stream(request, writer, args.events, 0.1, pause_s)
    else:
        await runner.answer_plain(request, writer, 0.05, plain_body(request))


def plain_body(request):
    """The whole body of a plain answer."""
    return b"".join(b"line %d of %s\n" % (n, request["id"].encode()) for n in range(1, 21))


async def answer_until_close(runner, request, writer, args):
    """Answers without a length: the body ends with the channel."""
    runner.busy += 1
    try:
        runner.ran(request)
        after = int(request["fields"].get("last-event-id", "0") or 0)
        kind = "text/event-stream" if args.engine else "text/plain"
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nConnection: close\r\n"
            f"X-Attempt-Id: {request['id']}\r\nX-Response-Seal: {seal(request['id'].encode())}\r\n\r\n"
        )
        await asyncio.sleep(0.1)
        writer.write(head.encode())
        if args.engine:
            pieces = [
                f"id: {n}\ndata: {request['id']}-{n}\n\n".encode()
                for n in range(after + 1, args.events + 1)
            ]
        else:
            pieces = plain_body(request).splitlines(keepends=True)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(args.pause_ms / 1000)
        raise ConnectionError("the answer has ended")
    finally:
        runner.busy -= 1


main()
