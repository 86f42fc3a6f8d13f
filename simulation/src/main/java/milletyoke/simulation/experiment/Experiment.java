package milletyoke.simulation.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import milletyoke.gateway.config.ConfigException;
import milletyoke.gateway.config.SettingsReader;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioFormatException;
import milletyoke.scenario.script.ScenarioParser;
import milletyoke.simulation.policy.SchedulerChoice;

/**
 * The definition of an experiment: a base scenario, arms that each replace some of its statements,
 * values that are inserted into the statements of all arms, and seeds. Every arm runs every value
 * with the same seeds, so that arms can be compared in pairs.
 *
 * @param scenarioFile script of the base scenario
 * @param seeds number of runs of each arm and value
 * @param values the values that replace {@code {x}} in statements and variants; a single empty
 *     string if nothing varies
 * @param axis description of the values, for reports
 */
public record Experiment(
        String name,
        Path scenarioFile,
        int seeds,
        List<Arm> arms,
        List<String> values,
        String axis) {

    /** Difference between the scenario seeds of consecutive runs. */
    private static final long SEED_STEP = 7919;

    /**
     * One alternative that an experiment compares.
     *
     * @param statements statements that replace those of the base scenario with the same keyword
     *     (and the same name, for categories and plans); {@code calm} removes all faults
     * @param bypassInitiators whether clients connect to the targets directly
     * @param scheduler the scheduler that initiators run if there is no variant
     * @param variant tuning parameters in the form that {@link
     *     milletyoke.simulation.policy.SchedulerVariant} reads; empty for none
     */
    public record Arm(
            String name,
            List<String> statements,
            boolean bypassInitiators,
            SchedulerChoice scheduler,
            String variant) {}

    /** One run of an arm with one value and seed. */
    public record Run(Arm arm, String value, int seed) {
        /** Identifies the run within its experiment. */
        public String key() {
            return arm.name() + "|" + value + "|" + seed;
        }
    }

    /**
     * Reads an experiment file and checks that the scenario of every arm can be parsed.
     *
     * @throws ConfigException if the file or one of its scenarios is invalid; the message names
     *     file, line and field
     */
    public static Experiment read(Path file) throws ConfigException {
        SettingsReader reader = SettingsReader.read(file);
        Path folder = file.toAbsolutePath().getParent();
        List<Arm> arms = new ArrayList<>();
        Set<String> armNames = new HashSet<>();
        for (SettingsReader arm : reader.objects("arms", true)) {
            String name = arm.text("name", null);
            if (!armNames.add(name)) {
                throw arm.error("name", "\"" + name + "\" is already the name of another arm");
            }
            arms.add(
                    new Arm(
                            name,
                            parseStatements(arm.text("set", "")),
                            arm.flag("straight", false),
                            arm.keyword(
                                    "scheduler", SchedulerChoice.class, SchedulerChoice.MILLETYOKE),
                            arm.text("variant", "")));
            arm.rejectUnknown();
        }
        Experiment experiment =
                new Experiment(
                        reader.text("name", null),
                        folder.resolve(reader.text("day", null)),
                        reader.integer("seeds", 10, 2, 10_000),
                        List.copyOf(arms),
                        List.of(reader.text("values", "").trim().split("\\s+")),
                        reader.text("axis", "value"));
        reader.text("source", ""); // accepted for older experiment files, without effect
        reader.rejectUnknown();
        try {
            for (Run run : experiment.runs()) {
                if (run.seed() == 0) {
                    experiment.scenarioOf(run); // rejects an invalid arm before any run
                }
            }
        } catch (ScenarioFormatException | IOException e) {
            throw reader.error("arms", e.getMessage());
        }
        return experiment;
    }

    private static List<String> parseStatements(String statements) {
        return statements.isBlank()
                ? List.of()
                : java.util.Arrays.stream(statements.split(";"))
                        .map(String::trim)
                        .filter(statement -> !statement.isEmpty())
                        .toList();
    }

    /** Returns all runs, ordered by value, arm and seed. */
    public List<Run> runs() {
        List<Run> runs = new ArrayList<>();
        for (String value : values) {
            for (Arm arm : arms) {
                for (int seed = 0; seed < seeds; seed++) {
                    runs.add(new Run(arm, value, seed));
                }
            }
        }
        return runs;
    }

    /**
     * Returns the scenario of a run.
     *
     * @throws IOException if the base scenario cannot be read
     * @throws ScenarioFormatException if the script with the arm's statements is invalid
     */
    public Scenario scenarioOf(Run run) throws IOException, ScenarioFormatException {
        String scenarioName =
                name + " " + run.arm().name() + (run.value().isEmpty() ? "" : " " + run.value());
        List<String> statements =
                run.arm().statements().stream()
                        .map(statement -> statement.replace("{x}", run.value()))
                        .toList();
        Scenario base =
                ScenarioParser.read(
                        scenarioFile.getFileName() + " with arm " + run.arm().name(),
                        scenarioName,
                        replaceStatements(
                                Files.readString(scenarioFile).lines().toList(), statements));
        return base.withFaults(
                scenarioName,
                base.seed() + SEED_STEP * run.seed(),
                statements.contains("calm") ? List.of() : base.faults());
    }

    private static String replaceStatements(List<String> lines, List<String> statements) {
        Map<String, String> replacements = new LinkedHashMap<>();
        statements.stream()
                .filter(statement -> !statement.equals("calm"))
                .forEach(statement -> replacements.put(subject(statement), statement));
        List<String> patched = new ArrayList<>();
        for (String line : lines) {
            String statement = line.replaceAll("#.*", "").trim();
            String replacement =
                    statement.isEmpty() ? null : replacements.remove(subject(statement));
            patched.add(replacement == null ? statement : replacement);
        }
        patched.addAll(replacements.values());
        return patched.stream().collect(Collectors.joining("\n"));
    }

    /** Returns what a statement defines: its keyword, with the name for categories and plans. */
    private static String subject(String statement) {
        String[] words = statement.split("\\s+");
        return switch (words[0]) {
            case "category", "plan" -> words[0] + " " + (words.length > 1 ? words[1] : "");
            case "at", "then" -> statement;
            default -> words[0];
        };
    }
}
