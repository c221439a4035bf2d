"""An engine as a process of its own; its entry is written by the case.

Usage: engine.py PORT ID. It writes what it runs to standard output. Its streams have
neither a length nor chunks: they end with their connection.
"""

# ruff: noqa: D102, D103

import asyncio
import sys

from standins import Engine, encode_head

GAP_S = 0.05


class Output:
    """Writes the record of the engine to standard output."""

    def write(self, text):
        """Write one line."""
        print(text, flush=True)


class UnframedEngine(Engine):
    """Engine whose streams end with their connection."""

    async def stream(self, request, writer):
        request_id = request.headers["x-jasminewalk-request-id"]
        count = int(request.headers["x-jasminewalk-token-usage"].partition(",")[2])
        headers = {
            **self.sign(request),
            "Content-Type": "text/event-stream",
            "Connection": "close",
        }
        writer.write(encode_head(200, headers))
        for number in range(1, count + 1):
            await asyncio.sleep(GAP_S)
            event = f"id: {number}\ndata: {request_id} {number} of {count}\n\n"
            writer.write(event.encode())
            await writer.drain()
        self.record.write(f"run over {request_id} at {self.engine_id}")
        return True


async def main():
    port, engine_id = int(sys.argv[1]), sys.argv[2]
    engine = UnframedEngine(port, engine_id, "llm", None, Output())
    await engine.listen()
    print("listening", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
