package milletyoke.gateway.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.nio.file.Files;
import java.nio.file.Path;
import milletyoke.config.Checker;
import milletyoke.config.disk.FileSourceProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * 50,000 volumes checked in one go, beside the bare reading of the same facts as JSON5. Prints, and
 * asserts counts only.
 */
@Timeout(120)
class CheckSpeedTest {
    private static final int VOLUMES = 50_000;

    @TempDir Path folder;

    @Test
    void fiftyThousandVolumes() throws Exception {
        StringBuilder fleet =
                new StringBuilder(
                        "fleet { initiators 3; }\ncategory read { repeats harmless; agreed 400ms; }\n"
                                + "plan basic { limit-rate 40u/s; limit-depth 40u; }\nplan club { reserve 0.001u/s; }\n"
                                + "pool main { targets a, b; capacity 900u/s; }\n");
        StringBuilder json = new StringBuilder("{volumes: [\n");
        for (int i = 0; i < VOLUMES; i++) {
            String plan = i % 2 == 0 ? "basic" : "club";
            fleet.append("volume store-")
                    .append(i)
                    .append(" { plan ")
                    .append(plan)
                    .append("; hosts 3; }\n");
            json.append("{name: \"store-")
                    .append(i)
                    .append("\", plan: \"")
                    .append(plan)
                    .append("\", hosts: 3},\n");
        }
        fleet.append("route volume store-* to main;\n");
        json.append("]}");
        Path a = Files.writeString(folder.resolve("a.fleet"), fleet);
        Path b = Files.writeString(folder.resolve("b.json5"), json);
        Thread.sleep(60);
        double best = Double.MAX_VALUE, bare = Double.MAX_VALUE;
        for (int round = 0; round < 5; round++) {
            long began = System.nanoTime();
            Checker.Result r = Checker.check(new FileSourceProvider(), a.toRealPath().toString());
            best = Math.min(best, (System.nanoTime() - began) / 1e6);
            assertTrue(
                    r.isValid(),
                    () ->
                            r.diagnostics()
                                    .subList(0, Math.min(3, r.diagnostics().size()))
                                    .toString());
            assertEquals(VOLUMES, r.fleet().blocksOfKind("volume").size());
            began = System.nanoTime();
            assertEquals(VOLUMES, Json5Parser.read(b).object().get("volumes").list().size());
            bare = Math.min(bare, (System.nanoTime() - began) / 1e6);
        }
        long peak =
                ManagementFactory.getMemoryPoolMXBeans().stream()
                        .filter(p -> p.getType() == MemoryType.HEAP)
                        .map(MemoryPoolMXBean::getPeakUsage)
                        .mapToLong(u -> u.getUsed())
                        .sum();
        System.out.printf(
                "50,000 volumes: checked in %.0f ms, read as JSON5 in %.0f ms, ratio %.1f; heap at most %d MiB%n",
                best, bare, best / bare, peak >> 20);
    }
}
