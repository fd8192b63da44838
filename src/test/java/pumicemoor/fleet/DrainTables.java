package pumicemoor.fleet;

import static pumicemoor.fleet.DrainRun.SECOND;

import java.util.Locale;

/**
 * Prints the table of drains in docs/fleet-design.md, measured in virtual time. Run by hand:
 * mvn -q test-compile exec:java -Dexec.mainClass=pumicemoor.fleet.DrainTables -Dexec.classpathScope=test
 */
final class DrainTables {

    private DrainTables() {}

    public static void main(String[] args) {
        System.out.println(
                "| routers | caches | at once | whole tier (s) | one at a time (s) | packets a member, beyond those without a drain |");
        for (int[] sizes : new int[][] {{5, 10, 2}, {5, 100, 10}, {100, 10, 2}, {100, 100, 10}}) {
            double[] rolling = run(sizes[0], sizes[1], sizes[2]);
            double[] single = run(sizes[0], sizes[1], 1);
            System.out.println(String.format(
                    Locale.ROOT,
                    "| %d | %d | %d | %.0f | %.0f | %.0f |",
                    sizes[0],
                    sizes[1],
                    sizes[2],
                    rolling[0],
                    single[0],
                    rolling[1]));
        }
    }

    /**
     * The seconds from the request until all members are back and warm, and the packets per member beyond an idle
     * fleet's.
     */
    private static double[] run(int routers, int caches, int atOnce) {
        DrainRun run = new DrainRun(routers, caches, atOnce, caches - atOnce, 600 * SECOND, 3);
        run.run(40 * SECOND);
        long before = run.fleet.packetsSent;
        run.run(20 * SECOND);
        double idlePacketsPerSecond = (run.fleet.packetsSent - before) / 20.0;
        before = run.fleet.packetsSent;
        for (int from = 0; from < caches; from += 100) {
            run.request(run.fleet.routers.get(1), 7 + from, from, Math.min(caches, from + 100));
        }
        double seconds = run.runToEnd(3_600 * SECOND) / (double) SECOND;
        return new double[] {seconds, (run.fleet.packetsSent - before - idlePacketsPerSecond * seconds) / caches};
    }
}
