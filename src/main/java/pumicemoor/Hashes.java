package pumicemoor;

/** Numbers for names that are the same at every router and every start. */
public final class Hashes {

    private Hashes() {}

    /** FNV-1a over the text's characters. */
    public static long fnv(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** A number that depends on every bit of the given one (the finaliser of SplitMix64). */
    public static long mix(long z) {
        long y = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        y = (y ^ (y >>> 27)) * 0x94d049bb133111ebL;
        return y ^ (y >>> 31);
    }

    /** A well spread number for a name. */
    public static long of(String name) {
        return mix(fnv(name));
    }
}
