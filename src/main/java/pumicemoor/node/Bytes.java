package pumicemoor.node;

/**
 * A reference-counted message body that passes through the router. It exposes only its size and operations on its
 * reference count: the body must never be read or changed, so that it is passed on byte for byte.
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

    /** Adds a reference, which its holder has to release, and returns the body. */
    Bytes retain();

    /** Drops a reference. */
    void release();
}
