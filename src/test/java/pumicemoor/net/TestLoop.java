package pumicemoor.net;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import pumicemoor.RefusalPolicy;
import pumicemoor.RefusalPolicy.EarlierAttempts;
import pumicemoor.RefusalPolicy.Rejection;
import pumicemoor.node.Input;
import pumicemoor.node.RequestIdentity;

/** An event loop whose clock the test sets and whose submitted inputs it reads. */
final class TestLoop implements Loop {

    private static final long RETRY_AFTER_MICROS = 500_000;

    final BlockingQueue<RequestIdentity> turnedAway = new LinkedBlockingQueue<>();
    volatile EarlierAttempts earlierAttempts = EarlierAttempts.NONE_RAN; // of the requests that are turned away
    final BlockingQueue<Input> inputs = new LinkedBlockingQueue<>();
    final BlockingQueue<String> reportedErrors = new LinkedBlockingQueue<>();
    volatile long time = 1_000_000_000;
    volatile boolean ready = true;
    volatile Thread submitter;

    @Override
    public void submit(Input input) {
        submitter = Thread.currentThread();
        inputs.add(input);
    }

    @Override
    public long clock() {
        return time;
    }

    @Override
    public boolean ready() {
        return ready;
    }

    @Override
    public void reportError(String text) {
        reportedErrors.add(text);
    }

    @Override
    public Optional<String> rows(String subject) {
        return Optional.empty();
    }

    @Override
    public Map<String, String> state() {
        return Map.of();
    }

    @Override
    public Rejection rejectionOf(RequestIdentity identity) {
        turnedAway.add(identity);
        return RefusalPolicy.rejectUnclassified(earlierAttempts, RETRY_AFTER_MICROS);
    }

    @Override
    public void clientOpened(long connectionId, ClientConnection client) {
        // the test has its own reference
    }

    @Override
    public void clientClosed(long connectionId) {
        // the test has its own reference
    }
}
