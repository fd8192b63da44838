package pumicemoor.node;

/**
 * A reference-counted message body on its way through the router. It exposes the reference count and the size only:
 * the body must never be read or changed here, so that it is passed on byte for byte.
 */
public interface Bytes {

    /** The empty body. */
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
            // the empty body holds no memory
        }
    };

    /** Returns the size in bytes. */
    int size();

    /** Adds a reference; the new holder has to release it. */
    Bytes retain();

    /** Drops a reference. */
    void release();
}
