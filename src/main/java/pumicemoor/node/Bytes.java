package pumicemoor.node;

/**
 * A body on its way through the router, counted by references. It owns nothing but the count; it must never
 * be read or altered here: what a client or a cache sent goes on as the bytes that came.
 */
public interface Bytes {

    /** A body without a byte. */
    Bytes NONE = new Bytes() {
        @Override
        public int size() {
            return 0;
        }

        @Override
        public Bytes retain() {
            return this;
        }

        @Override
        public void release() {
            // nothing is held
        }
    };

    int size();

    /** One more holder, who releases it in turn. */
    Bytes retain();

    void release();
}
