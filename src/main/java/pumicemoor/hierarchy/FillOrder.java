package pumicemoor.hierarchy;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An order of all units in which each stands before everything it fills from, kept up as links come and go.
 * A link that would close a loop is refused and leaves everything as it was. It owns the links and the order;
 * it must never know why a link is wanted.
 *
 * <p>After Pearce and Kelly (2006): a link that agrees with the order costs a comparison; otherwise only the
 * units that stand between its two ends are looked at and put right. Taking a link away changes no order.
 */
final class FillOrder {

    private static final int[] NONE = {};

    private final Map<String, Integer> numbers = new HashMap<>();
    private String[] names = new String[16];
    private int[] place = new int[16]; // of a unit in the order
    private int[][] above = new int[16][]; // what it fills from
    private int[][] below = new int[16][]; // what fills from it
    private int[] aboveCount = new int[16];
    private int[] belowCount = new int[16];
    private boolean[] seen = new boolean[16];
    private int size; // numbers given out so far
    private int[] free = new int[16]; // numbers of units that have left
    private int freeCount;
    private int nextPlace; // places need no density, only their order counts
    private int[] found = new int[16]; // of the search that is under way
    private int foundCount;
    private int[] stack = new int[16];
    private long looked;

    /** Takes the link unless it closes a loop; false changes nothing. A link twice is one link. */
    boolean add(String unit, String parent) {
        if (unit.equals(parent)) {
            return false;
        }
        int u = number(unit);
        int p = number(parent);
        if (contains(above[u], aboveCount[u], p)) {
            return true;
        }
        if (place[u] > place[p] && !reorder(u, p)) {
            return false;
        }
        above[u] = with(above[u], aboveCount[u]++, p);
        below[p] = with(below[p], belowCount[p]++, u);
        return true;
    }

    /** Takes a link away; one that is not there is no matter. */
    void remove(String unit, String parent) {
        Integer u = numbers.get(unit);
        Integer p = numbers.get(parent);
        if (u != null && p != null && contains(above[u], aboveCount[u], p)) {
            without(above[u], aboveCount[u]--, p);
            without(below[p], belowCount[p]--, u);
            forgetIfAlone(u);
            forgetIfAlone(p);
        }
    }

    boolean contains(String unit, String parent) {
        Integer u = numbers.get(unit);
        Integer p = numbers.get(parent);
        return u != null && p != null && contains(above[u], aboveCount[u], p);
    }

    /** The units that have a link to this one. */
    List<String> below(String parent) {
        Integer p = numbers.get(parent);
        return p == null
                ? List.of()
                : Arrays.stream(below[p], 0, belowCount[p])
                        .mapToObj(n -> names[n])
                        .sorted()
                        .toList();
    }

    /** How many units the searches have looked at since the start; shows what an insertion costs. */
    long looked() {
        return looked;
    }

    int links() {
        return Arrays.stream(aboveCount).sum();
    }

    /** How many units have a link. */
    int units() {
        return numbers.size();
    }

    /** Puts p behind u where nothing that p fills from, directly or not, is u. */
    private boolean reorder(int u, int p) {
        int from = place[p];
        int to = place[u];
        foundCount = 0;
        boolean loop = !search(p, above, aboveCount, from, to, u);
        int ahead = foundCount; // these must move behind
        if (!loop) {
            search(u, below, belowCount, from, to, -1);
        }
        for (int i = 0; i < foundCount; i++) {
            seen[found[i]] = false;
        }
        if (loop) {
            return false;
        }
        // each half keeps its own order; together they share out the places they have
        long[] front = byPlace(ahead, foundCount);
        long[] behind = byPlace(0, ahead);
        int[] places = new int[foundCount];
        for (int i = 0; i < foundCount; i++) {
            places[i] = place[found[i]];
        }
        Arrays.sort(places);
        int next = 0;
        for (long f : front) {
            place[(int) f] = places[next++];
        }
        for (long b : behind) {
            place[(int) b] = places[next++];
        }
        return true;
    }

    /** Collects what is reached from a unit within these places; false as soon as that is the target. */
    private boolean search(int start, int[][] next, int[] count, int from, int to, int target) {
        int depth = 0;
        stack = push(stack, depth++, start);
        seen[start] = true;
        while (depth > 0) {
            int at = stack[--depth];
            found = push(found, foundCount++, at);
            looked++;
            for (int i = 0; i < count[at]; i++) {
                int reached = next[at][i];
                if (reached == target) {
                    while (depth > 0) { // so that the caller clears their marks too
                        found = push(found, foundCount++, stack[--depth]);
                    }
                    return false;
                }
                if (!seen[reached] && place[reached] >= from && place[reached] <= to) {
                    seen[reached] = true;
                    stack = push(stack, depth++, reached);
                }
            }
        }
        return true;
    }

    private long[] byPlace(int from, int to) {
        long[] sorted = new long[to - from];
        for (int i = from; i < to; i++) {
            sorted[i - from] = (long) place[found[i]] << Integer.SIZE | found[i];
        }
        Arrays.sort(sorted);
        return sorted;
    }

    private int number(String name) {
        Integer known = numbers.get(name);
        if (known != null) {
            return known;
        }
        int number = freeCount > 0 ? free[--freeCount] : size++;
        if (number == names.length) {
            names = Arrays.copyOf(names, 2 * number);
            place = Arrays.copyOf(place, 2 * number);
            above = Arrays.copyOf(above, 2 * number);
            below = Arrays.copyOf(below, 2 * number);
            aboveCount = Arrays.copyOf(aboveCount, 2 * number);
            belowCount = Arrays.copyOf(belowCount, 2 * number);
            seen = Arrays.copyOf(seen, 2 * number);
        }
        names[number] = name;
        place[number] = nextPlace++;
        above[number] = NONE;
        below[number] = NONE;
        numbers.put(name, number);
        return number;
    }

    /** A unit without links leaves, and its number is free for another. */
    private void forgetIfAlone(int n) {
        if (aboveCount[n] == 0 && belowCount[n] == 0) {
            numbers.remove(names[n]);
            names[n] = null;
            above[n] = NONE;
            below[n] = NONE;
            free = push(free, freeCount++, n);
        }
    }

    private static int[] push(int[] list, int at, int value) {
        int[] room = at < list.length ? list : Arrays.copyOf(list, 2 * at);
        room[at] = value;
        return room;
    }

    private static int[] with(int[] list, int count, int value) {
        int[] room = count < list.length ? list : Arrays.copyOf(list, Math.max(2, 2 * count));
        room[count] = value;
        return room;
    }

    private static void without(int[] list, int count, int value) {
        for (int i = 0; i < count; i++) {
            if (list[i] == value) {
                list[i] = list[count - 1];
                return;
            }
        }
    }

    private static void replace(int[] list, int count, int value, int by) {
        for (int i = 0; i < count; i++) {
            if (list[i] == value) {
                list[i] = by;
            }
        }
    }

    private static boolean contains(int[] list, int count, int value) {
        for (int i = 0; i < count; i++) {
            if (list[i] == value) {
                return true;
            }
        }
        return false;
    }
}
