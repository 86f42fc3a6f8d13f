package milletyoke.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses that the end of a process destroys before their client has read them.
 */
@Timeout(60)
class UnreadResponseTest {
    private static final long DEADLINE_MILLIS = 400;
    private static final int SMALL_BUFFER_BYTES = 4_096;

    /** How long a request takes at most that its target answers at once. */
    private static final long RESPONSE_MILLIS = 300;

    @TempDir Path folder;

    /**
     * The response was written before the shutdown, or is on its way when the process stops
     * admitting requests.
     */
    @ParameterizedTest
    @ValueSource(longs = {-RESPONSE_MILLIS, 300, 500, 540})
    void aLongResponseIsWholeAfterTheProcessHasEnded(long sentAtMillis) throws Exception {
        try (ServeProcess served = new ServeProcess(folder, DEADLINE_MILLIS)) {
            int port = served.awaitPort();
            served.awaitReady();
            try (KeptConnection connection = new KeptConnection(port, SMALL_BUFFER_BYTES)) {
                String request =
                        KeptConnection.request(
                                "1", DEADLINE_MILLIS, RestartTargets.LARGE_RESPONSE_TARGET);
                if (sentAtMillis < 0) {
                    connection.send(request);
                    Thread.sleep(-sentAtMillis);
                }
                served.process().destroy();
                if (sentAtMillis > 0) {
                    Thread.sleep(sentAtMillis);
                    connection.send(request);
                }
                assertTrue(served.process().waitFor(10, TimeUnit.SECONDS));
                assertEquals(KeptConnection.Outcome.ANSWERED, connection.awaitOutcome());
                assertEquals(0, served.process().exitValue(), served.log());
            }
        }
    }
}
