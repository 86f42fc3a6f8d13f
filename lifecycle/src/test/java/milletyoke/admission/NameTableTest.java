package milletyoke.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.Example;

class NameTableTest {
    private static boolean used(NameTable names, String name, long now) {
        boolean admitted = names.admits(name, now);
        if (admitted) {
            names.acquire(name, now);
        }
        return admitted;
    }

    @Example
    void aFloodOfNewNamesStopsAtTheBoundAndThoseInUseGoOn() {
        NameTable names = new NameTable(100, 1_000);
        SplittableRandom chance = new SplittableRandom(3);
        int refused = 0;
        for (long now = 0; now < 200_000; now++) {
            refused += used(names, "made-up-" + now, now) ? 0 : 1;
            assertTrue(
                    used(names, "ours-" + chance.nextInt(10), now) || now < 100,
                    "a name in use got in before");
            assertTrue(names.inUse() <= 100);
        }
        assertTrue(refused > 100_000, "most of the flood stays outside");
    }

    @Example
    void aNameUnusedForLongEnoughMakesRoom() {
        NameTable names = new NameTable(2, 1_000);
        assertTrue(used(names, "a", 0) && used(names, "b", 10) && used(names, "a", 500));
        assertFalse(used(names, "c", 1_009), "b was used less than its time ago");
        assertTrue(used(names, "c", 1_010));
        assertEquals(2, names.inUse());
        assertFalse(used(names, "b", 1_011), "and b is new now");
        assertTrue(used(names, "a", 1_012), "a was used since");
    }
}
