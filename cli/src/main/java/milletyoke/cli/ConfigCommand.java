package milletyoke.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import milletyoke.config.Checker;
import milletyoke.config.Diagnostic;
import milletyoke.config.FleetDiff;
import milletyoke.config.Formatter;
import milletyoke.config.SourceProvider;
import milletyoke.config.disk.FileSourceProvider;
import milletyoke.gateway.config.FleetConverter;
import milletyoke.gateway.config.InitiatorConfig;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = "The configuration language: docs/configuration.md.",
        subcommands = {
            ConfigCommand.CheckFleet.class,
            ConfigCommand.Format.class,
            ConfigCommand.Diff.class,
            ConfigCommand.Show.class,
            ConfigCommand.Convert.class
        })
final class ConfigCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return 2;
    }

    private static Checker.Result check(Path file) {
        try {
            return Checker.check(new FileSourceProvider(), FileSourceProvider.name(file));
        } catch (SourceProvider.UnreadableSourceException missing) {
            throw new IllegalArgumentException(file + ": " + missing.getMessage());
        }
    }

    private static boolean tell(List<Diagnostic> findings) {
        findings.forEach(f -> System.err.print(f.text()));
        return findings.stream().noneMatch(Diagnostic::isError);
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Finds everything wrong in one pass; 0 without errors, 1 with.")
    static final class CheckFleet implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Option(names = "--json", description = "The findings as JSON on standard output.")
        private boolean json;

        @Override
        public Integer call() throws Exception {
            Checker.Result result = check(file);
            if (json) {
                List<Map<String, Object>> all = new ArrayList<>();
                for (Diagnostic f : result.diagnostics()) {
                    all.add(
                            Map.of(
                                    "severity",
                                    f.isError() ? "error" : "warning",
                                    "code",
                                    f.code(),
                                    "file",
                                    f.file(),
                                    "line",
                                    f.line(),
                                    "column",
                                    f.column(),
                                    "message",
                                    f.message(),
                                    "hint",
                                    f.hint(),
                                    "chain",
                                    f.chain()));
                }
                System.out.println(
                        JSON.writeValueAsString(
                                Map.of("clean", result.isValid(), "findings", all)));
            } else {
                tell(result.diagnostics());
                long errors = result.diagnostics().stream().filter(Diagnostic::isError).count();
                System.out.printf(
                        "%d files, %d errors, %d warnings%n",
                        result.files().size(), errors, result.diagnostics().size() - errors);
            }
            return result.isValid() ? 0 : 1;
        }
    }

    @Command(
            name = "format",
            mixinStandardHelpOptions = true,
            description =
                    "Writes files in the one style; files with errors of syntax are left alone.")
    static final class Format implements Callable<Integer> {
        @Parameters(arity = "1..*", paramLabel = "FILE")
        private List<Path> files;

        @Option(
                names = "--check",
                description = "Change nothing; 1 where a file is not in the style.")
        private boolean only;

        @Override
        public Integer call() throws Exception {
            boolean good = true;
            for (Path file : files) {
                List<Diagnostic> findings = new ArrayList<>();
                String text;
                try {
                    text = new FileSourceProvider().text(file.toString());
                } catch (SourceProvider.UnreadableSourceException unreadable) {
                    throw new IllegalArgumentException(file + ": " + unreadable.getMessage());
                }
                String formatted = Formatter.format(file.toString(), text, findings);
                if (formatted == null) {
                    tell(findings);
                    good = false;
                } else if (!formatted.equals(text)) {
                    System.out.println(file + (only ? " is not in the style" : " is formatted"));
                    good &= !only;
                    if (!only) {
                        Path aside =
                                Files.createTempFile(
                                        file.toAbsolutePath().getParent(), ".format", null);
                        Files.write(aside, formatted.getBytes(StandardCharsets.UTF_8));
                        Files.move(
                                aside,
                                file,
                                StandardCopyOption.ATOMIC_MOVE,
                                StandardCopyOption.REPLACE_EXISTING);
                    }
                }
            }
            return good ? 0 : 1;
        }
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description =
                    "What changes by meaning from OLD to NEW, for whom, and how it is taken; 1 where something does.")
    static final class Diff implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "OLD")
        private Path before;

        @Parameters(index = "1", paramLabel = "NEW")
        private Path after;

        @Option(names = "--json")
        private boolean json;

        @Override
        public Integer call() throws Exception {
            Checker.Result a = check(before), b = check(after);
            if (!tell(a.diagnostics().stream().filter(Diagnostic::isError).toList())
                    | !tell(b.diagnostics().stream().filter(Diagnostic::isError).toList())) {
                return 2;
            }
            List<FleetDiff.Change> changes = FleetDiff.between(a.fleet(), b.fleet());
            if (json) {
                System.out.println(JSON.writeValueAsString(changes));
            } else {
                changes.forEach(c -> System.out.println(c.text()));
            }
            return changes.isEmpty() ? 0 : 1;
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "What a configuration means, with everything resolved.")
    static final class Show implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            Checker.Result result = check(file);
            if (!tell(result.diagnostics())) {
                return 1;
            }
            System.out.print(result.fleet().show());
            return 0;
        }
    }

    @Command(
            name = "convert",
            mixinStandardHelpOptions = true,
            description = "Prints the deployment of an initiator's JSON5 setup in the language.")
    static final class Convert implements Callable<Integer> {
        @Parameters(paramLabel = "SETUP")
        private Path file;

        @Override
        public Integer call() throws Exception {
            System.out.print(FleetConverter.text(InitiatorConfig.read(file).deployment()));
            return 0;
        }
    }
}
