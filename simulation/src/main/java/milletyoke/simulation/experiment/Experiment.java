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
 * What varies: arms, each a few statements of a script in place of the day's own, values that go
 * into all arms, and seeds. Every arm plays every value with the same seeds, so that arms can be
 * compared pair by pair.
 *
 * @param seeds plays of each arm and value
 * @param values what stands for {@code {x}} in the statements; one empty text where nothing does
 */
public record Experiment(
        String name, Path day, int seeds, List<Arm> arms, List<String> values, String axis) {

    /**
     * One way.
     *
     * @param set statements that replace those of the day with the same first word (and name, for
     *     categories and plans); {@code calm} takes all troubles away
     * @param variant other tuning figures, as {@link milletyoke.simulation.policy.SchedulerVariant}
     *     reads them; empty for none
     */
    public record Arm(
            String name,
            List<String> set,
            boolean straight,
            SchedulerChoice scheduler,
            String variant) {}

    /** One play that is to be made. */
    public record Run(Arm arm, String value, int seed) {
        public String key() {
            return arm.name() + "|" + value + "|" + seed;
        }
    }

    /**
     * @throws ConfigException that names file, line and field
     */
    public static Experiment read(Path file) throws ConfigException {
        SettingsReader f = SettingsReader.read(file);
        Path base = file.toAbsolutePath().getParent();
        List<Arm> arms = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (SettingsReader a : f.objects("arms", true)) {
            String name = a.text("name", null);
            if (!names.add(name)) {
                throw a.error("name", "\"" + name + "\" is the name of an arm already");
            }
            arms.add(
                    new Arm(
                            name,
                            statements(a.text("set", "")),
                            a.flag("straight", false),
                            a.keyword(
                                    "scheduler", SchedulerChoice.class, SchedulerChoice.MILLETYOKE),
                            a.text("variant", "")));
            a.rejectUnknown();
        }
        Experiment made =
                new Experiment(
                        f.text("name", null),
                        base.resolve(f.text("day", null)),
                        f.integer("seeds", 10, 2, 10_000),
                        List.copyOf(arms),
                        List.of(f.text("values", "").trim().split("\\s+")),
                        f.text("axis", "value"));
        f.text("source", ""); // from when variants were compiled; accepted and ignored
        f.rejectUnknown();
        try {
            for (Run run : made.runs()) {
                if (run.seed() == 0) {
                    made.dayOf(run); // every arm can be read before any is played
                }
            }
        } catch (ScenarioFormatException | IOException wrong) {
            throw f.error("arms", wrong.getMessage());
        }
        return made;
    }

    private static List<String> statements(String set) {
        return set.isBlank()
                ? List.of()
                : java.util.Arrays.stream(set.split(";"))
                        .map(String::trim)
                        .filter(s -> !s.isEmpty())
                        .toList();
    }

    /** All plays, in an order that is always the same. */
    public List<Run> runs() {
        List<Run> all = new ArrayList<>();
        for (String value : values) {
            for (Arm arm : arms) {
                for (int seed = 0; seed < seeds; seed++) {
                    all.add(new Run(arm, value, seed));
                }
            }
        }
        return all;
    }

    /** The day that a run plays. */
    public Scenario dayOf(Run run) throws IOException, ScenarioFormatException {
        String called =
                name + " " + run.arm().name() + (run.value().isEmpty() ? "" : " " + run.value());
        List<String> set =
                run.arm().set().stream().map(s -> s.replace("{x}", run.value())).toList();
        Scenario read =
                ScenarioParser.read(
                        day.getFileName() + " with arm " + run.arm().name(),
                        called,
                        patched(Files.readString(day).lines().toList(), set));
        return read.withFaults(
                called,
                read.seed() + 7919L * run.seed(),
                set.contains("calm") ? List.of() : read.faults());
    }

    private static String patched(List<String> lines, List<String> set) {
        Map<String, String> by = new LinkedHashMap<>();
        set.stream().filter(s -> !s.equals("calm")).forEach(s -> by.put(subject(s), s));
        List<String> out = new ArrayList<>();
        for (String line : lines) {
            String bare = line.replaceAll("#.*", "").trim();
            String other = bare.isEmpty() ? null : by.remove(subject(bare));
            out.add(other == null ? bare : other);
        }
        out.addAll(by.values());
        return out.stream().collect(Collectors.joining("\n"));
    }

    /**
     * What a statement is about: its first word, with the name for what there may be several of.
     */
    private static String subject(String statement) {
        String[] words = statement.split("\\s+");
        return switch (words[0]) {
            case "category", "plan" -> words[0] + " " + (words.length > 1 ? words[1] : "");
            case "at", "then" -> statement;
            default -> words[0];
        };
    }
}
