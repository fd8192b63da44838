package pumicemoor.net;

import io.netty.channel.Channel;
import java.util.EnumSet;
import java.util.Set;

/** The reasons for which a client connection is not read. It is read again once none of them holds any more. */
final class ReadPauses {

    enum Reason {
        /** What was read last is not decoded yet: it is the turn of other clients. */
        TURN_OVER,
        /** Too many replies of the router's own wait for the client to read them. */
        REPLIES_WAIT,
        /** The client goes on sending input that is discarded. */
        INPUT_DISCARDED
    }

    private final Set<Reason> reasons = EnumSet.noneOf(Reason.class);
    private final Runnable onResumed;
    private Channel channel;

    /** Creates the pauses of one connection; the task runs each time that a reason has ended. */
    ReadPauses(Runnable onResumed) {
        this.onResumed = onResumed;
    }

    void attach(Channel pausedChannel) {
        channel = pausedChannel;
    }

    void pause(Reason reason) {
        reasons.add(reason);
        channel.config().setAutoRead(false);
    }

    void resume(Reason reason) {
        if (!reasons.remove(reason) || !channel.isActive()) {
            return;
        }
        if (reasons.isEmpty()) {
            channel.config().setAutoRead(true);
        }
        onResumed.run();
    }

    boolean contains(Reason reason) {
        return reasons.contains(reason);
    }
}
