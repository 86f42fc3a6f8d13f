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
 * Records the valid requests of clients in a file, for replay. Socket threads record requests in
 * memory and the side thread writes them, so that a slow disk delays no request. Requests that
 * cannot be buffered are left out of the file, which counts them.
 */
final class TrafficCapture {
    private static final Logger LOG = LoggerFactory.getLogger(TrafficCapture.class);
    private static final long FLUSH_INTERVAL_MILLIS = 500;

    private final ClientListener clientListener;
    private final ScheduledExecutorService sideExecutor;

    /** Null if no capture is running. */
    private CaptureWriter currentWriter;

    TrafficCapture(ClientListener clientListener, ScheduledExecutorService sideExecutor) {
        this.clientListener = clientListener;
        this.sideExecutor = sideExecutor;
    }

    /**
     * Starts a capture.
     *
     * @throws IOException if the file cannot be created or already exists
     */
    synchronized void start(Path file, String initiatorName, long nowMicros) throws IOException {
        CaptureWriter writer = new CaptureWriter(file, initiatorName, nowMicros);
        currentWriter = writer;
        clientListener.setCapture(writer);
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
            clientListener.setCapture(null);
        }
    }

    /** Stops the capture, if one is running, and closes its file. */
    synchronized void stop() {
        if (currentWriter == null) {
            return;
        }
        clientListener.setCapture(null);
        try {
            currentWriter.close();
        } catch (IOException failed) {
            LOG.warn("traffic capture could not be completed reason={}", failed.toString());
        }
        currentWriter = null;
    }
}
