package milletyoke.simulation.policy;

import java.io.IOException;
import java.io.InputStream;
import java.io.StringWriter;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;
import milletyoke.scheduler.RequestScheduler;
import milletyoke.scheduler.api.Scheduler;

/**
 * The product's decisions with other figures, for experiments alone: the module's own text with
 * some of its constants replaced, compiled beside it and loaded apart. The module knows nothing of
 * it, and no setting reaches it.
 */
public final class Variant {
    private Variant() {}

    /**
     * Builds one.
     *
     * @param source the text of the decisions
     * @param figures as {@code MARGIN_STEPS = 0.5; BASE_BATCH = 8}
     * @throws IOException where the text has no such constant or the outcome does not compile, with
     *     what is known
     */
    public static Supplier<Scheduler> of(Path source, String figures) throws IOException {
        String text = patched(Files.readString(source), figures);
        Path folder = Files.createTempDirectory("milletyoke-variant");
        try {
            compile(folder, text);
            Class<?> made =
                    new Apart(folder.resolve("out/milletyoke/scheduler"))
                            .loadClass("milletyoke.scheduler.RequestScheduler");
            var maker = made.getDeclaredConstructor();
            return () -> {
                try {
                    return (Scheduler) maker.newInstance();
                } catch (ReflectiveOperationException impossible) {
                    throw new IllegalStateException(
                            "a variant that compiled could not be made: " + figures, impossible);
                }
            };
        } catch (ReflectiveOperationException impossible) {
            throw new IOException("the variant " + figures + " could not be loaded", impossible);
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
    }

    static String patched(String text, String figures) throws IOException {
        String now = text;
        for (String figure : figures.split(";")) {
            Matcher asked =
                    Pattern.compile("\\s*([A-Z_]+)\\s*=\\s*([-0-9._/ ]+?)\\s*").matcher(figure);
            if (!asked.matches()) {
                throw new IOException(
                        "a variant is told as NAME = figure; ..., not \"" + figure.strip() + "\"");
            }
            Matcher there =
                    Pattern.compile("(static final [^;]*?\\b" + asked.group(1) + "\\s*=\\s*)[^,;]+")
                            .matcher(now);
            if (!there.find()) {
                throw new IOException("the decisions have no constant " + asked.group(1));
            }
            now = now.substring(0, there.end(1)) + asked.group(2) + now.substring(there.end());
        }
        return now.replaceFirst(
                "public final class RequestScheduler \\{",
                "public final class RequestScheduler implements"
                        + " milletyoke.scheduler.api.Scheduler {");
    }

    private static void compile(Path folder, String text) throws IOException {
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        if (compiler == null) {
            throw new IOException(
                    "variants need a JDK, and this runs on a runtime without a compiler");
        }
        Path file =
                Files.createDirectories(folder.resolve("in/milletyoke/scheduler"))
                        .resolve("RequestScheduler.java");
        Files.writeString(file, text);
        Path out = Files.createDirectories(folder.resolve("out"));
        StringWriter said = new StringWriter();
        try (StandardJavaFileManager files = compiler.getStandardFileManager(null, null, null)) {
            String core =
                    Path.of(
                                    RequestScheduler.class
                                            .getProtectionDomain()
                                            .getCodeSource()
                                            .getLocation()
                                            .toURI())
                            .toString();
            boolean good =
                    compiler.getTask(
                                    said,
                                    files,
                                    null,
                                    List.of(
                                            "-proc:none",
                                            "-nowarn",
                                            "-cp",
                                            core,
                                            "-d",
                                            out.toString()),
                                    null,
                                    files.getJavaFileObjects(file))
                            .call();
            if (!good) {
                throw new IOException("the variant does not compile: " + said);
            }
        } catch (URISyntaxException odd) {
            throw new IOException("the place of the decisions cannot be told", odd);
        }
    }

    /**
     * Loads the variant and what shares its package; all else, the events and actions among it, is
     * the program's own.
     */
    private static final class Apart extends ClassLoader {
        private final Map<String, byte[]> compiled = new HashMap<>();

        Apart(Path folder) throws IOException {
            super(Variant.class.getClassLoader());
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    compiled.put(
                            "milletyoke.scheduler."
                                    + file.getFileName().toString().replaceAll("\\.class$", ""),
                            Files.readAllBytes(file));
                }
            }
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            synchronized (getClassLoadingLock(name)) {
                Class<?> known = findLoadedClass(name);
                if (known != null || !name.matches("milletyoke\\.scheduler\\.[A-Z].*")) {
                    return known != null ? known : super.loadClass(name, resolve);
                }
                byte[] bytes = compiled.containsKey(name) ? compiled.get(name) : own(name);
                return defineClass(name, bytes, 0, bytes.length);
            }
        }

        private byte[] own(String name) throws ClassNotFoundException {
            try (InputStream in =
                    getParent().getResourceAsStream(name.replace('.', '/') + ".class")) {
                if (in == null) {
                    throw new ClassNotFoundException(name);
                }
                return in.readAllBytes();
            } catch (IOException unreadable) {
                throw new ClassNotFoundException(name, unreadable);
            }
        }
    }
}
