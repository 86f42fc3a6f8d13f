package milletyoke.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs the program in child processes and stops those that a test left running. */
final class ChildProcesses {
    static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();

    private final List<Process> started = new ArrayList<>();

    /** Returns the command that runs the program on this JVM's class path. */
    static List<String> commandLine(String... args) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                JAVA,
                                "-XX:+UseSerialGC",
                                "-cp",
                                System.getProperty("java.class.path"),
                                Main.class.getName()));
        command.addAll(List.of(args));
        return command;
    }

    Process start(ProcessBuilder builder) throws IOException {
        Process process = builder.start();
        started.add(process);
        return process;
    }

    void stopAll() {
        started.forEach(Process::destroyForcibly);
    }
}
