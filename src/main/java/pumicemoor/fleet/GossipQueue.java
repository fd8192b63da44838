package pumicemoor.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * News on its way, each told a number of times that grows with the logarithm of the fleet, the least told first. It
 * owns how often each was told; only the newest about a subject is kept, so it is bounded by the subjects.
 */
final class GossipQueue<T> {

    private static final class Rumour<T> {
        final String subject;
        final T news;
        final long order;
        int told;

        Rumour(String subject, T news, long order) {
            this.subject = subject;
            this.news = news;
            this.order = order;
        }
    }

    private final Map<String, Rumour<T>> bySubject = new HashMap<>();
    private final TreeSet<Rumour<T>> byTold =
            new TreeSet<>(Comparator.comparingInt((Rumour<T> r) -> r.told).thenComparingLong(r -> -r.order));
    private long order;

    void put(String subject, T news) {
        Rumour<T> rumour = new Rumour<>(subject, news, order++);
        Rumour<T> before = bySubject.put(subject, rumour);
        if (before != null) {
            byTold.remove(before);
        }
        byTold.add(rumour);
    }

    boolean isEmpty() {
        return bySubject.isEmpty();
    }

    /** What fits into so many bytes, counted as told; what was told often enough is forgotten. */
    List<T> take(int bytes, int times, ToIntFunction<T> size) {
        List<Rumour<T>> taken = new ArrayList<>();
        int left = bytes;
        for (Rumour<T> r : byTold) {
            int wanted = size.applyAsInt(r.news);
            if (wanted <= left) {
                left -= wanted;
                taken.add(r);
            }
        }
        for (Rumour<T> r : taken) {
            byTold.remove(r);
            r.told++;
            byTold.add(r);
        }
        while (!byTold.isEmpty() && byTold.last().told >= times) {
            bySubject.remove(byTold.pollLast().subject);
        }
        return taken.stream().map(r -> r.news).toList();
    }
}
