package milletyoke.gateway;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import milletyoke.gateway.ingress.ClientListener;
import milletyoke.wire.capture.CaptureWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records the valid requests of clients in a file, for replay. The sockets' threads record them and
 * the side thread writes them, so that a slow disk delays nobody: what it cannot take is left out
 * and counted in the file.
 */
final class TrafficCapture {
    private static final Logger LOG = LoggerFactory.getLogger(TrafficCapture.class);
    private static final long FLUSH_INTERVAL_MILLIS = 500;

    private final ClientListener clientListener;
    private final ScheduledExecutorService sideExecutor;

    /** Null where nothing is captured. */
    private CaptureWriter currentWriter;

    TrafficCapture(ClientListener clientListener, ScheduledExecutorService sideExecutor) {
        this.clientListener = clientListener;
        this.sideExecutor = sideExecutor;
    }

    /**
     * Starts to record.
     *
     * @throws IOException where the file cannot be created, or exists already
     */
    synchronized void start(Path file, String initiatorName, long nowMicros) throws IOException {
        CaptureWriter writer = new CaptureWriter(file, initiatorName, nowMicros);
        currentWriter = writer;
        clientListener.capture(writer);
        var unused =
                sideExecutor.scheduleWithFixedDelay(
                        () -> flush(writer),
                        FLUSH_INTERVAL_MILLIS,
                        FLUSH_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void flush(CaptureWriter writer) {
        try {
            writer.flush();
        } catch (IOException failed) {
            LOG.warn("traffic capture stopped reason={}", failed.toString());
            clientListener.capture(null);
        }
    }

    /** Stops recording and closes the file, if there is one. */
    synchronized void stop() {
        if (currentWriter == null) {
            return;
        }
        clientListener.capture(null);
        try {
            currentWriter.close();
        } catch (IOException failed) {
            LOG.warn("end of traffic capture could not be written reason={}", failed.toString());
        }
        currentWriter = null;
    }
}
