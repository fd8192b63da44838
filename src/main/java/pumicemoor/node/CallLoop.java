package pumicemoor.node;

/** What a front for calls may ask of the loop it runs on. */
public interface CallLoop {

    /** Runs this on the loop's thread; may be called from any thread. False when the loop has ended. */
    boolean execute(Runnable what);

    /** Runs this on the loop's thread after so many microseconds, unless what is given back is run before. */
    Runnable schedule(long micros, Runnable what);

    /** Hands an input to the reducer; on the loop's thread only. */
    void submit(Input input);

    /** Microseconds that count on in real time from the Unix time of the router's start. */
    long clock();

    /** A log line about what another side did wrong; those past a rate are left out. */
    void complain(String text);
}
