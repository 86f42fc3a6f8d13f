package milletyoke.gateway.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.nio.file.Files;
import java.nio.file.Path;
import milletyoke.config.Checker;
import milletyoke.config.disk.FileSourceProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks a fleet configuration of 50,000 volumes and parses the same content as JSON5. Prints both
 * times; asserts only the number of volumes.
 */
@Timeout(120)
class CheckSpeedTest {
    private static final int VOLUMES = 50_000;

    @TempDir Path folder;

    private record Sources(Path fleet, Path json) {}

    @Test
    void fiftyThousandVolumes() throws Exception {
        Sources sources = writeSources();
        Thread.sleep(60); // FileSourceProvider waits for files modified less than 30 ms ago
        double checkMillis = Double.MAX_VALUE;
        double parseMillis = Double.MAX_VALUE;
        for (int round = 0; round < 5; round++) {
            checkMillis = Math.min(checkMillis, timeCheck(sources.fleet()));
            parseMillis = Math.min(parseMillis, timeParse(sources.json()));
        }
        System.out.printf(
                "50,000 volumes: checked in %.0f ms, parsed as JSON5 in %.0f ms, ratio %.1f; "
                        + "peak heap %d MiB%n",
                checkMillis, parseMillis, checkMillis / parseMillis, peakHeapBytes() >> 20);
    }

    private Sources writeSources() throws IOException {
        StringBuilder fleet =
                new StringBuilder(
                        "fleet { initiators 3; }\n"
                                + "category read { repeats harmless; agreed 400ms; }\n"
                                + "plan basic { limit-rate 40u/s; limit-depth 40u; }\n"
                                + "plan club { reserve 0.001u/s; }\n"
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
        return new Sources(
                Files.writeString(folder.resolve("a.fleet"), fleet),
                Files.writeString(folder.resolve("b.json5"), json));
    }

    private static double timeCheck(Path file) throws IOException {
        long startNanos = System.nanoTime();
        Checker.Result result =
                Checker.check(new FileSourceProvider(), file.toRealPath().toString());
        double millis = (System.nanoTime() - startNanos) / 1e6;
        int shownCount = Math.min(3, result.diagnostics().size());
        assertTrue(result.isValid(), () -> result.diagnostics().subList(0, shownCount).toString());
        assertEquals(VOLUMES, result.fleet().blocksOfKind("volume").size());
        return millis;
    }

    private static double timeParse(Path file) throws ConfigException {
        long startNanos = System.nanoTime();
        assertEquals(VOLUMES, Json5Parser.read(file).object().get("volumes").list().size());
        return (System.nanoTime() - startNanos) / 1e6;
    }

    private static long peakHeapBytes() {
        return ManagementFactory.getMemoryPoolMXBeans().stream()
                .filter(pool -> pool.getType() == MemoryType.HEAP)
                .map(MemoryPoolMXBean::getPeakUsage)
                .mapToLong(MemoryUsage::getUsed)
                .sum();
    }
}
