package pumicemoor.net;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import pumicemoor.node.Input;

/** A loop whose clock a test sets and whose inputs it reads. */
final class TestLoop implements Loop {

    final BlockingQueue<Input> inputs = new LinkedBlockingQueue<>();
    final BlockingQueue<String> complaints = new LinkedBlockingQueue<>();
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
    public void complain(String text) {
        complaints.add(text);
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
    public void opened(long number, ClientConnection client) {
        // a test holds its own
    }

    @Override
    public void closed(long number) {
        // a test holds its own
    }
}
