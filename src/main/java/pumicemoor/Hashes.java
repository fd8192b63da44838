package pumicemoor;

/** Hash functions for names, whose results are the same in every router and after every restart. */
public final class Hashes {

    private Hashes() {}

    /** Returns the 64-bit FNV-1a hash of a text, taken over its chars instead of bytes. */
    public static long fnv(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** Mixes all bits of a number (the finalizer of SplitMix64). */
    public static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    /** Returns a uniformly distributed hash of a name. */
    public static long of(String name) {
        return mix(fnv(name));
    }
}
