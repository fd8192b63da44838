package pumicemoor.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * News on its way, each told a number of times that grows with the logarithm of the fleet, the least told first. It
 * owns how often each was told; only the newest about a subject is kept, so it is bounded by the subjects.
 */
final class Rumours<T> {

    private static final class Rumour<T> {
        final T news;
        final long order;
        int told;

        Rumour(T news, long order) {
            this.news = news;
            this.order = order;
        }
    }

    private final Map<String, Rumour<T>> bySubject = new HashMap<>();
    private long order;

    void put(String subject, T news) {
        bySubject.put(subject, new Rumour<>(news, order++));
    }

    boolean isEmpty() {
        return bySubject.isEmpty();
    }

    /** What fits into so many bytes, counted as told; what was told often enough is forgotten. */
    List<T> take(int bytes, int times, ToIntFunction<T> size) {
        List<Rumour<T>> first = new ArrayList<>(bySubject.values());
        first.sort(Comparator.comparingInt((Rumour<T> r) -> r.told).thenComparingLong(r -> -r.order));
        List<T> taken = new ArrayList<>();
        int left = bytes;
        for (Rumour<T> r : first) {
            int wanted = size.applyAsInt(r.news);
            if (wanted <= left) {
                left -= wanted;
                taken.add(r.news);
                r.told++;
            }
        }
        bySubject.values().removeIf(r -> r.told >= times);
        return taken;
    }
}
