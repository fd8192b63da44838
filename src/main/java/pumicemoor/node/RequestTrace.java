package pumicemoor.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.Outcome;

/**
 * The life of each request as log lines of level DEBUG, by the client's own request id: its arrival, each attempt
 * with the last coordinator event that it was decided on, the end of each attempt, and the final answer. Off unless
 * the logger {@code pumicemoor.node.RequestTrace} is set to DEBUG; nothing may be decided by it.
 */
final class RequestTrace {

    private static final Logger LOG = LoggerFactory.getLogger(RequestTrace.class);

    private RequestTrace() {}

    static void arrived(Input.Request request, long millisLeft) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "request {} arrived: class {} object {} connection {} stream {} has {} ms",
                    request.call(),
                    request.requestClass(),
                    request.object(),
                    request.connection(),
                    request.stream(),
                    millisLeft);
        }
    }

    /** An attempt goes out; the source is null where nothing is filled, the event is the last one that was applied. */
    static void attempt(String call, int number, String target, String source, long lastEvent, long millisLeft) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "request {} attempt {} at {} source {} decided on event {} has {} ms",
                    call,
                    number,
                    target,
                    source,
                    lastEvent,
                    millisLeft);
        }
    }

    static void attemptEnded(String call, int number, Outcome outcome, FillResult note, boolean written, long micros) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "request {} attempt {} ended {} {} written {} after {} us",
                    call,
                    number,
                    outcome,
                    note,
                    written,
                    micros);
        }
    }

    static void answered(String call, Effect.Code code, long pushbackMillis, int attempts, long millisLeft) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "request {} answered {} pushback {} ms after {} attempts, {} ms before its deadline",
                    call,
                    code,
                    pushbackMillis,
                    attempts,
                    millisLeft);
        }
    }

    static void withdrawn(String call, int attemptsOut) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("request {} closed: its client waits no more, {} attempts are out", call, attemptsOut);
        }
    }
}
