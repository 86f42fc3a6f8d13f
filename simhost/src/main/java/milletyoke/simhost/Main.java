package milletyoke.simhost;

import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** Runs a {@link SimHost} on standard input and output. */
public final class Main {
    private static final int BUFFER_BYTES = 1 << 16;

    private Main() {}

    /**
     * Runs until the input ends. The exit code is 1 for a malformed frame and 2 for invalid
     * arguments.
     *
     * @throws IOException if standard input or output fails
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: java -jar milletyoke-simhost.jar simhost");
            System.exit(2);
        }
        var in =
                new BufferedReader(
                        new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER_BYTES);
        var out =
                new OutputStreamWriter(
                        new BufferedOutputStream(System.out, BUFFER_BYTES), StandardCharsets.UTF_8);
        try {
            new SimHost(in, out).run();
        } catch (MalformedFrameException e) {
            System.err.println("milletyoke: " + e.getMessage());
            System.exit(1);
        }
    }
}
