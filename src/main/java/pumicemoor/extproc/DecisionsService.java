package pumicemoor.extproc;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import pumicemoor.calls.CallRules;
import pumicemoor.calls.CallState;
import pumicemoor.calls.CallState.Style;
import pumicemoor.extproc.proto.v1.Ask;
import pumicemoor.extproc.proto.v1.DecisionsGrpc;
import pumicemoor.extproc.proto.v1.End;
import pumicemoor.extproc.proto.v1.Final;
import pumicemoor.extproc.proto.v1.FromCaller;
import pumicemoor.extproc.proto.v1.Named;
import pumicemoor.extproc.proto.v1.ToCaller;
import pumicemoor.idempotency.RequestHistory;
import pumicemoor.node.Effect;
import pumicemoor.node.Input.AnswerStatus;

/**
 * The project's own gRPC service, pumicemoor.v1.Decisions, for callers that report the end of each attempt. It only
 * decodes and encodes messages.
 */
final class DecisionsService extends DecisionsGrpc.DecisionsImplBase {

    private static final int MAX_GROUP = 255;

    private final ProcessorFront front;

    DecisionsService(ProcessorFront front) {
        this.front = front;
    }

    @Override
    public StreamObserver<FromCaller> decide(StreamObserver<ToCaller> responses) {
        ServerCallStreamObserver<ToCaller> out = (ServerCallStreamObserver<ToCaller>) responses;
        ReporterStream stream = new ReporterStream(ProcessorFront.caller(), out);
        return front.receive(stream, out, message -> onMessage(stream, message));
    }

    private void onMessage(ReporterStream stream, FromCaller message) {
        switch (message.getMessageCase()) {
            case ASK -> {
                Ask ask = message.getAsk();
                if (ask.getObject().isEmpty()
                        || ask.getObject().length() > CallRules.MAX_OBJECT_LENGTH
                        || ask.getPart() < 0
                        || ask.getGroup() < -1
                        || ask.getGroup() > MAX_GROUP
                        || ask.getTimeLeftMs() < 0) {
                    front.execute(stream, front.malformed(stream, "an object, part, group or time that can't be"));
                } else {
                    front.request(
                            stream,
                            ask.getId(),
                            new CallRules.RequestAttributes(
                                    ask.getRequestClass(), ask.getObject(), ask.getPart(), ask.getGroup()),
                            ask.getTimeLeftMs(),
                            ask.getAttempt() < 0 ? RequestHistory.UNKNOWN_TRIES : ask.getAttempt());
                }
            }
            case END -> {
                End end = message.getEnd();
                if (end.getHow() == End.How.UNREACHED
                        && stream.attempt != null
                        && stream.attempt.attempt() == end.getAttempt()) {
                    front.unreached(stream);
                } else {
                    front.response(
                            stream,
                            end.getAttempt(),
                            status(end.getHow()),
                            end.getNote().isEmpty() ? null : end.getNote());
                }
            }
            default -> front.execute(stream, front.malformed(stream, "a message that is neither ask nor end"));
        }
    }

    /** The status of an ended attempt; null if the outcome is unknown, so that the request may have run. */
    private static AnswerStatus status(End.How how) {
        return switch (how) {
            case OK -> AnswerStatus.DATA;
            case UNCHANGED -> AnswerStatus.UNCHANGED;
            case ABSENT -> AnswerStatus.ABSENT;
            case FULL -> AnswerStatus.FULL;
            case FAILED -> AnswerStatus.FAILED;
            default -> null;
        };
    }

    /** The stream of one request, towards the caller. */
    private static final class ReporterStream extends ProcessorFront.Stream {
        private final ServerCallStreamObserver<ToCaller> out;

        ReporterStream(String caller, ServerCallStreamObserver<ToCaller> out) {
            super(caller, Style.REPORTER, out);
            this.out = out;
        }

        private void send(ToCaller.Builder message) {
            if (callerConnected()) {
                out.onNext(message.build());
            }
        }

        @Override
        void sendAttempt(Effect.AnnounceAttempt attempt) {
            send(ToCaller.newBuilder()
                    .setNamed(Named.newBuilder()
                            .setAttempt(attempt.attempt())
                            .setCache(attempt.instance())
                            .setAddress(attempt.address())
                            .setSource(attempt.source() == null ? "" : attempt.source())
                            .addAllWay(attempt.fillPath())
                            .setKeepRank(attempt.keepRank())
                            .setOldestMs(attempt.maxAgeMillis())
                            .setJoin(attempt.join())
                            .setOnlyIfHeld(attempt.onlyIfCached())
                            .setRenew(attempt.renew())
                            .setTimeoutMs(attempt.timeoutMillis())));
        }

        @Override
        void sendFinal(CallState.Code code, long retryAfterMillis) {
            send(ToCaller.newBuilder()
                    .setFinal(Final.newBuilder()
                            .setCode(Final.Code.valueOf(code.name()))
                            .setStayAwayMs(retryAfterMillis)));
        }

        @Override
        void sendContinue() {
            // this service has no messages that need a "continue"
        }
    }
}
