package pumicemoor.hierarchy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import pumicemoor.hierarchy.Topology.Link;

class FillOrderTest {

    /** Links come and go at random; each answer is that of a plain walk over the links that are there. */
    @Property(seed = "20261201")
    void refusesExactlyTheLinksThatCloseALoop(
            @ForAll @Size(max = 120) List<@IntRange(max = 12 * 12 * 4 - 1) Integer> steps) {
        FillOrder order = new FillOrder();
        Set<Link> links = new TreeSet<>();
        for (int step : steps) {
            Link link = new Link("u" + step % 12, "u" + step / 12 % 12);
            if (step / 144 == 0) {
                order.remove(link.unit(), link.parent());
                links.remove(link);
            } else {
                List<Link> with = new ArrayList<>(links);
                with.add(link);
                assertEquals(!Shapes.hasLoop(with), order.add(link.unit(), link.parent()), link.toString());
                if (!Shapes.hasLoop(with)) {
                    links.add(link);
                }
            }
            for (Link there : links) {
                assertTrue(order.contains(there.unit(), there.parent()));
            }
        }
        links.forEach(l -> order.remove(l.unit(), l.parent()));
        assertEquals(0, order.units(), "units without links are forgotten");
    }

    @Test
    void aLinkThatAgreesWithTheOrderIsNotSearchedFor() {
        FillOrder order = new FillOrder();
        for (int i = 0; i < 1_000; i++) {
            order.add("u" + i, "u" + (i + 1));
        }
        long before = order.looked();
        assertTrue(order.add("u3", "u900"));
        assertEquals(before, order.looked(), "a comparison is enough");
        assertFalse(order.add("u900", "u3"));
    }
}
