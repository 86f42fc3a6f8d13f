package milletyoke.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.Example;

class NameTableTest {
    private static boolean tryUse(NameTable names, String name, long now) {
        boolean admitted = names.admits(name, now);
        if (admitted) {
            names.acquire(name, now);
        }
        return admitted;
    }

    @Example
    void floodOfNewNamesStopsAtTheBoundAndNamesInUseAreAdmitted() {
        NameTable names = new NameTable(100, 1_000);
        SplittableRandom random = new SplittableRandom(3);
        int rejected = 0;
        for (long now = 0; now < 200_000; now++) {
            rejected += tryUse(names, "made-up-" + now, now) ? 0 : 1;
            assertTrue(
                    tryUse(names, "ours-" + random.nextInt(10), now) || now < 100,
                    "a recently used name is admitted");
            assertTrue(names.inUse() <= 100);
        }
        assertTrue(rejected > 100_000, "most of the flood is rejected");
    }

    @Example
    void nameUnusedForItsRetentionMakesRoom() {
        NameTable names = new NameTable(2, 1_000);
        assertTrue(tryUse(names, "a", 0) && tryUse(names, "b", 10) && tryUse(names, "a", 500));
        assertFalse(tryUse(names, "c", 1_009), "b is still within its retention");
        assertTrue(tryUse(names, "c", 1_010));
        assertEquals(2, names.inUse());
        assertFalse(tryUse(names, "b", 1_011), "b was removed and counts as new");
        assertTrue(tryUse(names, "a", 1_012), "a is still in use");
    }
}
