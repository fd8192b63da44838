package pumicemoor.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Assigns the routers of a simulated fleet to sites, zones and regions and gives the network delay between two of them.
 * It owns the random assignment, in which sites, zones and regions differ in size as real ones do. The result must
 * depend on nothing but the seed and the counts passed to the constructor.
 */
final class Geography {

    /** The minimum delay of any packet: no router can affect another in less time. */
    static final long MIN_DELAY_MICROS = 500;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final double WEIGHT_LOG_DEVIATION = 0.7; // standard deviation of the logarithms of the weights

    /** The site, zone and region of one router, each numbered across the whole fleet. */
    record Location(int site, int zone, int region) {}

    private final List<Location> locations = new ArrayList<>();
    private final long[][] regionDelayMicros; // by pair of regions, without jitter
    private final long jitterMicros;

    /**
     * Draws the locations of all routers. The delay of each pair of regions is drawn once, between the minimum and the
     * maximum given.
     */
    Geography(
            int routers,
            int sites,
            int zones,
            int regions,
            long minRegionDelayMicros,
            long maxRegionDelayMicros,
            long seed) {
        Random random = new Random(seed);
        int[] regionOf = assign(zones, regions, random);
        int[] zoneOf = assign(sites, zones, random);
        int[] siteOf = assign(routers, sites, random);
        for (int i = 0; i < routers; i++) {
            locations.add(new Location(siteOf[i], zoneOf[siteOf[i]], regionOf[zoneOf[siteOf[i]]]));
        }
        java.util.Collections.shuffle(locations, random);
        jitterMicros = Math.min(5 * MICROS_PER_MILLI, maxRegionDelayMicros - minRegionDelayMicros);
        regionDelayMicros = new long[regions][regions];
        for (int from = 0; from < regions; from++) {
            for (int to = 0; to < from; to++) {
                // seeded by the pair, so that the delays of two regions are the same at each size
                double fraction = new Random(seed * 1_000_003 + from * 1_009L + to).nextDouble();
                regionDelayMicros[from][to] = minRegionDelayMicros
                        + (long) (fraction * (maxRegionDelayMicros - minRegionDelayMicros - jitterMicros));
                regionDelayMicros[to][from] = regionDelayMicros[from][to];
            }
        }
    }

    /**
     * Assigns {@code count} elements to groups and returns the group of each: the first elements fill one group each,
     * the others follow random weights.
     */
    private static int[] assign(int count, int groups, Random random) {
        double[] cumulativeWeights = new double[groups];
        double sum = 0;
        for (int group = 0; group < groups; group++) {
            sum += Math.exp(WEIGHT_LOG_DEVIATION * random.nextGaussian());
            cumulativeWeights[group] = sum;
        }
        int[] groupOf = new int[count];
        for (int i = 0; i < count; i++) {
            int position = java.util.Arrays.binarySearch(cumulativeWeights, random.nextDouble() * sum);
            groupOf[i] = i < groups ? i : Math.min(groups - 1, position < 0 ? -position - 1 : position);
        }
        return groupOf;
    }

    Location location(int router) {
        return locations.get(router);
    }

    /**
     * The group (zone or region) with the most routers, apart from the group {@code excluded}; -1 excludes none. If no
     * other group has a router, the result is an empty group or, in a fleet of one router, the excluded group.
     */
    int largest(java.util.function.ToIntFunction<Location> groupOf, int excluded) {
        int[] sizes = new int[locations.size()];
        locations.forEach(p -> sizes[groupOf.applyAsInt(p)]++);
        int largest = excluded == 0 ? Math.min(1, sizes.length - 1) : 0;
        for (int group = 0; group < sizes.length; group++) {
            if (group != excluded && sizes[group] > sizes[largest]) {
                largest = group;
            }
        }
        return largest;
    }

    /**
     * The delay of a packet in microseconds, in the range for two routers of the same site, zone or region, or of
     * different regions.
     *
     * @param draw a random number from 0 to 1 that selects the delay within the range
     */
    long delay(Location from, Location to, double draw) {
        if (from.region() != to.region()) {
            return regionDelayMicros[from.region()][to.region()] + (long) (draw * jitterMicros);
        }
        long minMicros = from.zone() != to.zone() ? 5_000 : from.site() != to.site() ? 2_000 : MIN_DELAY_MICROS;
        long maxMicros = from.zone() != to.zone() ? 15_000 : from.site() != to.site() ? 5_000 : 2_000;
        return minMicros + (long) (draw * (maxMicros - minMicros));
    }
}
