package pumicemoor.hierarchy;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An online topological order of all units: each unit precedes every unit that it fills from, while links are added
 * and removed. A link that would close a loop is refused and changes nothing. Owns the links and the order; it must
 * not know why a link is requested.
 *
 * <p>After Pearce and Kelly (2006): adding a link that agrees with the order costs one comparison; otherwise only
 * units between the positions of its two ends are visited and reordered. Removing a link does not change the order.
 */
final class FillOrder {

    private static final int[] NONE = {};

    private final Map<String, Integer> numbers = new HashMap<>();
    private String[] names = new String[16];
    private int[] position = new int[16]; // by unit number
    private int[][] parents = new int[16][]; // by unit number; unit numbers that it fills from
    private int[][] children = new int[16][]; // by unit number; unit numbers that fill from it
    private int[] parentCounts = new int[16];
    private int[] childCounts = new int[16];
    private boolean[] visited = new boolean[16];
    private int size; // unit numbers assigned so far
    private int[] freeNumbers = new int[16]; // numbers of removed units, for reuse
    private int freeNumberCount;
    private int nextPosition; // positions may have gaps; only their order matters
    private int[] found = new int[16]; // units visited by the current search
    private int foundCount;
    private int[] stack = new int[16];
    private long unitsVisited;

    /** Adds the link, or returns false and changes nothing if it closes a loop. Adding a link again is a no-op. */
    boolean add(String unit, String parent) {
        if (unit.equals(parent)) {
            return false;
        }
        int unitNumber = numberOf(unit);
        int parentNumber = numberOf(parent);
        if (contains(parents[unitNumber], parentCounts[unitNumber], parentNumber)) {
            return true;
        }
        if (position[unitNumber] > position[parentNumber] && !reorder(unitNumber, parentNumber)) {
            return false;
        }
        parents[unitNumber] = append(parents[unitNumber], parentCounts[unitNumber]++, parentNumber);
        children[parentNumber] = append(children[parentNumber], childCounts[parentNumber]++, unitNumber);
        return true;
    }

    /** Removes the link if it exists. */
    void remove(String unit, String parent) {
        Integer unitNumber = numbers.get(unit);
        Integer parentNumber = numbers.get(parent);
        if (unitNumber != null
                && parentNumber != null
                && contains(parents[unitNumber], parentCounts[unitNumber], parentNumber)) {
            removeValue(parents[unitNumber], parentCounts[unitNumber]--, parentNumber);
            removeValue(children[parentNumber], childCounts[parentNumber]--, unitNumber);
            removeIfUnlinked(unitNumber);
            removeIfUnlinked(parentNumber);
        }
    }

    boolean contains(String unit, String parent) {
        Integer unitNumber = numbers.get(unit);
        Integer parentNumber = numbers.get(parent);
        return unitNumber != null
                && parentNumber != null
                && contains(parents[unitNumber], parentCounts[unitNumber], parentNumber);
    }

    /** Returns the names of the units that fill from this one, sorted. */
    List<String> childrenOf(String parent) {
        Integer parentNumber = numbers.get(parent);
        return parentNumber == null
                ? List.of()
                : Arrays.stream(children[parentNumber], 0, childCounts[parentNumber])
                        .mapToObj(unitNumber -> names[unitNumber])
                        .sorted()
                        .toList();
    }

    /**
     * Returns the number of units that searches have visited since the start, a measure of the cost of adding links.
     */
    long unitsVisited() {
        return unitsVisited;
    }

    int links() {
        return Arrays.stream(parentCounts).sum();
    }

    /** Returns the number of units that have at least one link. */
    int units() {
        return numbers.size();
    }

    /**
     * Moves the parent behind the unit in the order; returns false if the parent fills from the unit, directly or
     * not.
     */
    private boolean reorder(int unitNumber, int parentNumber) {
        int from = position[parentNumber];
        int to = position[unitNumber];
        foundCount = 0;
        boolean loop = !search(parentNumber, parents, parentCounts, from, to, unitNumber);
        int parentSideCount = foundCount; // the first units of found, which must move back
        if (!loop) {
            search(unitNumber, children, childCounts, from, to, -1);
        }
        for (int i = 0; i < foundCount; i++) {
            visited[found[i]] = false;
        }
        if (loop) {
            return false;
        }
        // each side keeps its relative order; together they are assigned the positions that they already occupy
        long[] childSide = sortedByPosition(parentSideCount, foundCount);
        long[] parentSide = sortedByPosition(0, parentSideCount);
        int[] positions = new int[foundCount];
        for (int i = 0; i < foundCount; i++) {
            positions[i] = position[found[i]];
        }
        Arrays.sort(positions);
        int next = 0;
        for (long movedUnit : childSide) {
            position[(int) movedUnit] = positions[next++];
        }
        for (long movedUnit : parentSide) {
            position[(int) movedUnit] = positions[next++];
        }
        return true;
    }

    /**
     * Adds to {@code found} the units that are reachable from the start at positions within the range; returns false
     * as soon as the target is reached. A target of -1 is never reached.
     */
    private boolean search(int start, int[][] next, int[] count, int from, int to, int target) {
        int depth = 0;
        stack = push(stack, depth++, start);
        visited[start] = true;
        while (depth > 0) {
            int current = stack[--depth];
            found = push(found, foundCount++, current);
            unitsVisited++;
            for (int i = 0; i < count[current]; i++) {
                int reached = next[current][i];
                if (reached == target) {
                    while (depth > 0) { // record the rest, so that the caller clears their visited marks
                        found = push(found, foundCount++, stack[--depth]);
                    }
                    return false;
                }
                if (!visited[reached] && position[reached] >= from && position[reached] <= to) {
                    visited[reached] = true;
                    stack = push(stack, depth++, reached);
                }
            }
        }
        return true;
    }

    private long[] sortedByPosition(int from, int to) {
        long[] sorted = new long[to - from];
        for (int i = from; i < to; i++) {
            sorted[i - from] = (long) position[found[i]] << Integer.SIZE | found[i];
        }
        Arrays.sort(sorted);
        return sorted;
    }

    private int numberOf(String name) {
        Integer known = numbers.get(name);
        if (known != null) {
            return known;
        }
        int number = freeNumberCount > 0 ? freeNumbers[--freeNumberCount] : size++;
        if (number == names.length) {
            names = Arrays.copyOf(names, 2 * number);
            position = Arrays.copyOf(position, 2 * number);
            parents = Arrays.copyOf(parents, 2 * number);
            children = Arrays.copyOf(children, 2 * number);
            parentCounts = Arrays.copyOf(parentCounts, 2 * number);
            childCounts = Arrays.copyOf(childCounts, 2 * number);
            visited = Arrays.copyOf(visited, 2 * number);
        }
        names[number] = name;
        position[number] = nextPosition++;
        parents[number] = NONE;
        children[number] = NONE;
        numbers.put(name, number);
        return number;
    }

    /** Removes a unit that has no links, so that its number can be reused. */
    private void removeIfUnlinked(int unitNumber) {
        if (parentCounts[unitNumber] == 0 && childCounts[unitNumber] == 0) {
            numbers.remove(names[unitNumber]);
            names[unitNumber] = null;
            parents[unitNumber] = NONE;
            children[unitNumber] = NONE;
            freeNumbers = push(freeNumbers, freeNumberCount++, unitNumber);
        }
    }

    private static int[] push(int[] list, int index, int value) {
        int[] grown = index < list.length ? list : Arrays.copyOf(list, 2 * index);
        grown[index] = value;
        return grown;
    }

    private static int[] append(int[] list, int count, int value) {
        int[] grown = count < list.length ? list : Arrays.copyOf(list, Math.max(2, 2 * count));
        grown[count] = value;
        return grown;
    }

    private static void removeValue(int[] list, int count, int value) {
        for (int i = 0; i < count; i++) {
            if (list[i] == value) {
                list[i] = list[count - 1];
                return;
            }
        }
    }

    private static void replaceValue(int[] list, int count, int value, int replacement) {
        for (int i = 0; i < count; i++) {
            if (list[i] == value) {
                list[i] = replacement;
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
