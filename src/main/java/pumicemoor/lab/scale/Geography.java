package pumicemoor.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Where the routers of a hollow fleet stand, and how long a packet takes between two of them. It owns the draw of sites,
 * zones and regions, which are uneven as real ones are, and must never depend on anything but its seed and its numbers.
 */
final class Geography {

    /** The shortest way of a packet, microseconds. */
    static final long SHORTEST = 500;

    private static final long MILLI = 1_000;
    private static final double UNEVEN = 0.7; // deviation of the logarithm of a site's, zone's or region's weight

    /** Where one router stands, by numbers that hold for the whole fleet. */
    record Place(int site, int zone, int region) {}

    private final List<Place> places = new ArrayList<>();
    private final long[][] between; // the least delay of a pair of regions, microseconds
    private final long jitter;

    /** Draws places for so many routers; the delay between two regions is drawn once, from far's least to its most. */
    Geography(int routers, int sites, int zones, int regions, long leastFar, long mostFar, long seed) {
        Random random = new Random(seed);
        int[] regionOf = spread(zones, regions, random);
        int[] zoneOf = spread(sites, zones, random);
        int[] siteOf = spread(routers, sites, random);
        for (int i = 0; i < routers; i++) {
            places.add(new Place(siteOf[i], zoneOf[siteOf[i]], regionOf[zoneOf[siteOf[i]]]));
        }
        java.util.Collections.shuffle(places, random);
        jitter = Math.min(5 * MILLI, mostFar - leastFar);
        between = new long[regions][regions];
        for (int a = 0; a < regions; a++) {
            for (int b = 0; b < a; b++) {
                double draw = new Random(seed * 1_000_003 + a * 1_009L + b).nextDouble(); // the same at each size
                between[a][b] = leastFar + (long) (draw * (mostFar - leastFar - jitter));
                between[b][a] = between[a][b];
            }
        }
    }

    /** Puts each of so many into one of so many groups: one into each, as far as they go, the others by uneven weights. */
    private static int[] spread(int count, int groups, Random random) {
        double[] upTo = new double[groups];
        double sum = 0;
        for (int g = 0; g < groups; g++) {
            sum += Math.exp(UNEVEN * random.nextGaussian());
            upTo[g] = sum;
        }
        int[] of = new int[count];
        for (int i = 0; i < count; i++) {
            int g = java.util.Arrays.binarySearch(upTo, random.nextDouble() * sum);
            of[i] = i < groups ? i : Math.min(groups - 1, g < 0 ? -g - 1 : g);
        }
        return of;
    }

    Place place(int router) {
        return places.get(router);
    }

    /** The zone, or the region, with the most routers. */
    int largest(java.util.function.ToIntFunction<Place> group, int without) {
        int[] sizes = new int[places.size()];
        places.forEach(p -> sizes[group.applyAsInt(p)]++);
        int largest = without == 0 ? Math.min(1, sizes.length - 1) : 0;
        for (int g = 0; g < sizes.length; g++) {
            if (g != without && sizes[g] > sizes[largest]) {
                largest = g;
            }
        }
        return largest;
    }

    /** How long a packet takes from one place to another, microseconds: within a site, a zone, a region, beyond. */
    long delay(Place from, Place to, double draw) {
        if (from.region() != to.region()) {
            return between[from.region()][to.region()] + (long) (draw * jitter);
        }
        long least = from.zone() != to.zone() ? 5_000 : from.site() != to.site() ? 2_000 : SHORTEST;
        long most = from.zone() != to.zone() ? 15_000 : from.site() != to.site() ? 5_000 : 2_000;
        return least + (long) (draw * (most - least));
    }
}
