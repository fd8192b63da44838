package pumicemoor.net;

import java.util.Map;
import java.util.Optional;
import pumicemoor.node.Input;

/** What connections may ask of the loop they run on; none of it may be called from another thread. */
interface Loop {

    /** Hands an input to the reducer, after those that came before. */
    void submit(Input input);

    /** Microseconds that count on in real time from the Unix time of the router's start. */
    long clock();

    /** A log line about what another side did wrong; those past a rate are left out. */
    void complain(String text);

    /** Whether new requests are wanted. */
    boolean ready();

    /** What can be seen of the parts that are switched on, by name. */
    Map<String, String> state();

    /** Rows about one subject as JSON, where there are such. */
    Optional<String> rows(String subject);

    void opened(long number, ClientConnection client);

    void closed(long number);
}
