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

    /** Random additions and removals; each result must match a plain search over the links present. */
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
                List<Link> withLink = new ArrayList<>(links);
                withLink.add(link);
                assertEquals(!Topologies.hasLoop(withLink), order.add(link.unit(), link.parent()), link.toString());
                if (!Topologies.hasLoop(withLink)) {
                    links.add(link);
                }
            }
            for (Link present : links) {
                assertTrue(order.contains(present.unit(), present.parent()));
            }
        }
        links.forEach(l -> order.remove(l.unit(), l.parent()));
        assertEquals(0, order.units(), "units without links are forgotten");
    }

    @Test
    void addingALinkThatAgreesWithTheOrderVisitsNoUnits() {
        FillOrder order = new FillOrder();
        for (int i = 0; i < 1_000; i++) {
            order.add("u" + i, "u" + (i + 1));
        }
        long before = order.unitsVisited();
        assertTrue(order.add("u3", "u900"));
        assertEquals(before, order.unitsVisited(), "a comparison is enough");
        assertFalse(order.add("u900", "u3"));
    }
}
