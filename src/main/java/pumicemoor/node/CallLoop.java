package pumicemoor.node;

/** The part of the router's event loop that a {@link CallFront} uses. */
public interface CallLoop {

    /** Runs a task on the loop's thread; may be called from any thread. Returns false if the loop has ended. */
    boolean execute(Runnable task);

    /** Runs a task on the loop's thread after a delay in microseconds. Running the returned task cancels it. */
    Runnable schedule(long delayMicros, Runnable task);

    /** Passes an input to the reducer; may be called on the loop's thread only. */
    void submit(Input input);

    /** Returns monotonic time in microseconds, counted from the Unix time of the router's start. */
    long clock();

    /** Logs a peer's error; lines above a rate limit are suppressed. */
    void reportError(String text);
}
