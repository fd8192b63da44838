package pumicemoor.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.Outcome;

/**
 * Traces each request at level DEBUG under the id that its client gave it: its arrival, the start of each attempt with
 * the last coordinator event applied before that, the end of each attempt, and the final answer. It is off unless the
 * logger {@code pumicemoor.node.RequestTrace} is set to DEBUG; no decision may depend on it.
 */
final class RequestTrace {

    private static final Logger LOG = LoggerFactory.getLogger(RequestTrace.class);

    private RequestTrace() {}

    static void arrived(Input.Request request, long millisLeft) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "request {} arrived: class {} object {} connection {} stream {} has {} ms",
                    request.clientRequestId(),
                    request.requestClass(),
                    request.object(),
                    request.connection(),
                    request.stream(),
                    millisLeft);
        }
    }

    /** Traces the start of an attempt; the source is null if nothing is filled, the event is the last one applied. */
    static void attemptStarted(
            String clientRequestId, int number, String target, String source, long lastEventIndex, long millisLeft) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "request {} attempt {} at {} source {} decided on event {} has {} ms",
                    clientRequestId,
                    number,
                    target,
                    source,
                    lastEventIndex,
                    millisLeft);
        }
    }

    static void attemptEnded(
            String clientRequestId, int number, Outcome outcome, FillResult fillResult, boolean written, long micros) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "request {} attempt {} ended {} {} written {} after {} us",
                    clientRequestId,
                    number,
                    outcome,
                    fillResult,
                    written,
                    micros);
        }
    }

    static void answered(
            String clientRequestId, Effect.Code code, long retryAfterMillis, int attempts, long millisLeft) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "request {} answered {} pushback {} ms after {} attempts, {} ms before its deadline",
                    clientRequestId,
                    code,
                    retryAfterMillis,
                    attempts,
                    millisLeft);
        }
    }

    static void cancelled(String clientRequestId, int openAttempts) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("request {} cancelled by its client, {} attempts are under way", clientRequestId, openAttempts);
        }
    }
}
