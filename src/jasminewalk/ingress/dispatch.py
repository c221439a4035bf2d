"""Runs generations and service calls of callers on endpoints."""

from jasminewalk.exceptions import RefusedError
from jasminewalk.generated_codes import RESULTS, Code
from jasminewalk.generated_requests import ServiceReply
from jasminewalk.ingress._run import EntryContext
from jasminewalk.ingress._run_call import CallRun
from jasminewalk.ingress._run_generation import GenerationRun
from jasminewalk.ingress.jobs import CallJob, GenerationJob, TokenSink
from jasminewalk.scheduling.attempts import ResponseAssembler
from jasminewalk.types import Refusal

__all__ = ["Dispatcher"]

LOG_RETRY_AFTER_S = 1.0


class Dispatcher(EntryContext):
    """Runs generations and service calls, with retries, until they end."""

    async def generate(self, job: GenerationJob, sink: TokenSink) -> ResponseAssembler:
        """Run a generation and return its complete response.

        :param job: the generation.
        :param sink: receives the tokens as they arrive.
        :raises RefusedError: if the generation is given up.
        """
        run = GenerationRun(self, job, sink)
        await run.run()
        return run.machine.assembler

    def get_last_attempt(self, request_id: str) -> int:
        """Return the number of a request's last attempt; 0 if none was made.

        :param request_id: identifier of the request.
        """
        trace = self.traces.get(request_id)
        return trace.attempts[-1].attempt if trace and trace.attempts else 0

    async def call(self, job: CallJob) -> tuple[int, ServiceReply]:
        """Run a service call; return the number of its last attempt and the reply.

        A call that needs the log is refused at once while the log is unreachable.
        Otherwise each sidecar that is tried would first wait for the log.

        :param job: the call.
        :raises RefusedError: if the call is given up.
        """
        run = CallRun(self, job)
        if job.key and not self.is_log_reachable():
            run.refuse(build_log_unavailable_refusal())
        await run.run()
        if run.reply is None:
            raise RefusedError(code=Code.INTERNAL_ERROR)
        return run.machine.attempt, run.reply


def build_log_unavailable_refusal() -> Refusal:
    """Build the refusal of a call that needs the log while it is unreachable."""
    code = Code.LOG_UNAVAILABLE
    return Refusal(code, RESULTS[code].message, LOG_RETRY_AFTER_S)
