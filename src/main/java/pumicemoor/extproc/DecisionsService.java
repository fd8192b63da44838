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
import pumicemoor.node.Effect;
import pumicemoor.node.Input.AnswerStatus;

/** The project's own service, for callers that report each attempt's end. It only reads and words messages. */
final class DecisionsService extends DecisionsGrpc.DecisionsImplBase {

    private static final int LAST_GROUP = 255;

    private final ProcessorFront front;

    DecisionsService(ProcessorFront front) {
        this.front = front;
    }

    @Override
    public StreamObserver<FromCaller> decide(StreamObserver<ToCaller> responses) {
        ServerCallStreamObserver<ToCaller> out = (ServerCallStreamObserver<ToCaller>) responses;
        ReporterStream stream = new ReporterStream(ProcessorFront.caller(), out);
        return front.listen(stream, out, message -> heard(stream, message));
    }

    private void heard(ReporterStream stream, FromCaller message) {
        switch (message.getMessageCase()) {
            case ASK -> {
                Ask ask = message.getAsk();
                if (ask.getObject().isEmpty()
                        || ask.getObject().length() > CallRules.LONGEST_OBJECT
                        || ask.getPart() < 0
                        || ask.getGroup() < -1
                        || ask.getGroup() > LAST_GROUP
                        || ask.getTimeLeftMs() < 0) {
                    front.act(stream, front.malformed(stream, "an object, part, group or time that can't be"));
                } else {
                    front.request(
                            stream,
                            ask.getId(),
                            new CallRules.About(ask.getRequestClass(), ask.getObject(), ask.getPart(), ask.getGroup()),
                            ask.getTimeLeftMs(),
                            ask.getAttempt() > 0);
                }
            }
            case END -> {
                End end = message.getEnd();
                if (end.getHow() == End.How.UNREACHED
                        && stream.name != null
                        && stream.name.attempt() == end.getAttempt()) {
                    front.unreached(stream);
                } else {
                    front.response(
                            stream,
                            end.getAttempt(),
                            word(end.getHow()),
                            end.getNote().isEmpty() ? null : end.getNote());
                }
            }
            default -> front.act(stream, front.malformed(stream, "a message that is neither ask nor end"));
        }
    }

    /** Null where nothing is known but that it may have run. */
    private static AnswerStatus word(End.How how) {
        return switch (how) {
            case OK -> AnswerStatus.DATA;
            case UNCHANGED -> AnswerStatus.UNCHANGED;
            case ABSENT -> AnswerStatus.ABSENT;
            case FULL -> AnswerStatus.FULL;
            case FAILED -> AnswerStatus.FAILED;
            default -> null;
        };
    }

    /** The caller's side of one request. */
    private static final class ReporterStream extends ProcessorFront.Stream {
        private final ServerCallStreamObserver<ToCaller> out;

        ReporterStream(String caller, ServerCallStreamObserver<ToCaller> out) {
            super(caller, Style.REPORTER, out);
            this.out = out;
        }

        private void send(ToCaller.Builder message) {
            if (heardBy()) {
                out.onNext(message.build());
            }
        }

        @Override
        void tellName(Effect.AnnounceAttempt n) {
            send(ToCaller.newBuilder()
                    .setNamed(Named.newBuilder()
                            .setAttempt(n.attempt())
                            .setCache(n.instance())
                            .setAddress(n.address())
                            .setSource(n.source() == null ? "" : n.source())
                            .addAllWay(n.fillPath())
                            .setKeepRank(n.keepRank())
                            .setOldestMs(n.maxAgeMillis())
                            .setJoin(n.join())
                            .setOnlyIfHeld(n.onlyIfCached())
                            .setRenew(n.renew())
                            .setTimeoutMs(n.timeoutMillis())));
        }

        @Override
        void tellFinal(CallState.Code code, long stayAwayMillis) {
            send(ToCaller.newBuilder()
                    .setFinal(Final.newBuilder()
                            .setCode(Final.Code.valueOf(code.name()))
                            .setStayAwayMs(stayAwayMillis)));
        }

        @Override
        void goOn() {
            // this service has nothing to let go on
        }
    }
}
