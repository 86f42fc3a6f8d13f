package milletyoke.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import milletyoke.scenario.ScenarioRunner;
import milletyoke.scenario.audit.Audit;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioParser;
import milletyoke.simulation.experiment.Experiment;
import milletyoke.simulation.experiment.ExperimentRunner;
import milletyoke.simulation.experiment.ResultRow;
import milletyoke.simulation.experiment.ResultStore;
import milletyoke.simulation.faults.FaultGenerator;
import milletyoke.simulation.faults.FaultSearch;
import milletyoke.simulation.report.Report;
import milletyoke.simulation.run.SimulationRun;
import milletyoke.standins.ServiceLevelRecorder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        subcommands = {
            SimulationCommand.PlayDays.class,
            SimulationCommand.RunExperiment.class,
            SimulationCommand.ShowReport.class,
            SimulationCommand.HuntStorms.class,
            SimulationCommand.BesideSockets.class
        },
        description =
                "Fleets in virtual time: the same daemons, stand-ins and scripts, without sockets.")
final class SimulationCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        picocli.CommandLine.usage(this, System.err);
        return 2;
    }

    @Command(
            name = "play",
            mixinStandardHelpOptions = true,
            description =
                    "Plays bad days in virtual time, then audits the rules; 0 only if every rule was kept.")
    static final class PlayDays implements Callable<Integer> {
        @Parameters(arity = "1..*", paramLabel = "SCRIPT", description = "Scripts of bad days.")
        private List<Path> scripts;

        @Option(
                names = "--record",
                paramLabel = "FILE",
                description = "Keep the recording here (one script only).")
        private Path keep;

        @Option(
                names = "--bare",
                description = "Record nothing and audit nothing: for fleets of great size.")
        private boolean bare;

        @Option(names = "--brief", description = "One line a script.")
        private boolean brief;

        @Override
        public Integer call() throws Exception {
            if (keep != null && (scripts.size() > 1 || bare)) {
                throw new IllegalArgumentException("--record takes one script, without --bare");
            }
            boolean clean = true;
            for (Scenario day : ScenarioParser.readAll(scripts)) {
                clean &= play(day);
            }
            return clean ? 0 : 1;
        }

        private boolean play(Scenario day) throws IOException {
            Path recording =
                    bare
                            ? null
                            : keep != null
                                    ? keep
                                    : Files.createTempFile("milletyoke-", ".recording");
            try {
                SimulationRun.SimulationResult came = SimulationRun.run(day, recording);
                Audit.Report report = bare ? null : Audit.audit(recording);
                boolean kept =
                        came.isClean() && came.unfinished() == 0 && (bare || report.isClean());
                System.out.printf(
                        "%-32s service %.4f  digest %016x  %,d events in %.2f s, %,.0f a second  %s%n",
                        day.name(),
                        came.serviceLevels().overallServiceLevel(),
                        came.digest(),
                        came.eventCount(),
                        came.elapsedMicros() / 1e6,
                        came.eventCount() * 1e6 / came.elapsedMicros(),
                        bare ? "not audited" : kept ? "kept" : "NOT KEPT");
                if (!brief) {
                    System.out.print(came.serviceLevels().text());
                }
                if (!bare && !(brief && kept)) {
                    System.out.print(report.text(true));
                }
                return kept;
            } finally {
                if (keep == null && recording != null) {
                    Files.deleteIfExists(recording);
                }
            }
        }
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description =
                    "Plays an experiment on all cores; what its results hold already is not played again.")
    static final class RunExperiment implements Callable<Integer> {
        @Parameters(
                paramLabel = "EXPERIMENT",
                description = "A file in JSON5: the day, the arms, the values, the seeds.")
        private Path file;

        @Option(
                names = "--to",
                paramLabel = "FOLDER",
                required = true,
                description = "Results and report go here.")
        private Path folder;

        @Option(
                names = "--threads",
                paramLabel = "N",
                description = "Plays at once; usually one for each core.")
        private int threads = Runtime.getRuntime().availableProcessors();

        @Option(names = "--quiet", description = "No line after each play.")
        private boolean quiet;

        @Override
        public Integer call() throws Exception {
            Experiment experiment = Experiment.read(file);
            Files.createDirectories(folder);
            try (ResultStore results = new ResultStore(folder.resolve("results.jsonl"))) {
                new ExperimentRunner(experiment, results, Math.max(1, threads))
                        .run(quiet ? line -> {} : System.err::println);
                Path csv = results.writeCsv();
                Report report =
                        new Report(
                                experiment.name(),
                                experiment.axis(),
                                results.rows(),
                                experiment.arms().stream().map(Experiment.Arm::name).toList());
                System.out.print(report.text());
                System.out.println("report " + report.write(folder) + ", table " + csv);
            }
            return 0;
        }
    }

    @Command(
            name = "report",
            mixinStandardHelpOptions = true,
            description =
                    "Makes the report of results again; several files are compared as if they were one experiment.")
    static final class ShowReport implements Callable<Integer> {
        @Parameters(arity = "1..*", paramLabel = "RESULTS", description = "Files of JSON lines.")
        private List<Path> files;

        @Option(
                names = "--to",
                paramLabel = "FOLDER",
                required = true,
                description = "The report goes here.")
        private Path folder;

        @Option(names = "--axis", paramLabel = "TEXT", description = "What the values are.")
        private String axis = "value";

        @Override
        public Integer call() throws Exception {
            List<ResultRow> rows = new ArrayList<>();
            for (Path file : files) {
                String mark =
                        files.size() == 1
                                ? ""
                                : file.toAbsolutePath().getParent().getFileName() + ": ";
                ResultStore.read(file)
                        .forEach(
                                r ->
                                        rows.add(
                                                new ResultRow(
                                                        mark + r.arm(),
                                                        r.value(),
                                                        r.seed(),
                                                        r.service(),
                                                        r.categories(),
                                                        r.plans(),
                                                        r.seconds(),
                                                        r.p50(),
                                                        r.p99(),
                                                        r.evenness(),
                                                        r.coldUsed(),
                                                        r.asked(),
                                                        r.unfinished(),
                                                        r.digest(),
                                                        r.events(),
                                                        r.wall())));
            }
            if (rows.isEmpty()) {
                throw new IllegalArgumentException("there are no results in " + files);
            }
            Report report =
                    new Report(
                            String.join(
                                    ", ", files.stream().map(f -> "" + f.getFileName()).toList()),
                            axis,
                            rows,
                            List.of());
            System.out.print(report.text());
            System.out.println("report " + report.write(folder));
            return 0;
        }
    }

    @Command(
            name = "hunt",
            mixinStandardHelpOptions = true,
            description =
                    "Draws storms over a day and looks for the worst, then shrinks it; 1 where a rule was broken.")
    static final class HuntStorms implements Callable<Integer> {
        @Parameters(paramLabel = "SCRIPT", description = "The day whose troubles are replaced.")
        private Path script;

        @Option(
                names = "--storms",
                paramLabel = "N",
                description = "How many are played (${DEFAULT-VALUE}).")
        private int storms = 100;

        @Option(
                names = "--seed",
                paramLabel = "S",
                description = "Of the first storm (${DEFAULT-VALUE}).")
        private long seed = 1;

        @Option(
                names = "--troubles",
                paramLabel = "N",
                description = "At most in one storm (${DEFAULT-VALUE}).")
        private int troubles = 5;

        @Option(
                names = "--only",
                paramLabel = "SORTS",
                split = ",",
                description =
                        "Troubles that are drawn, as HANG,SLOW;"
                                + " usually all: ${COMPLETION-CANDIDATES}.")
        private List<Scenario.FaultType> only = List.of();

        @Option(
                names = "--least",
                paramLabel = "PERCENT",
                description = "Of targets that one strikes (${DEFAULT-VALUE}).")
        private double least = 10;

        @Option(
                names = "--most",
                paramLabel = "PERCENT",
                description = "Of targets that one strikes (${DEFAULT-VALUE}).")
        private double most = 80;

        @Option(
                names = "--longest",
                paramLabel = "PERCENT",
                description = "Of the day that one lasts (${DEFAULT-VALUE}).")
        private double longest = 50;

        @Option(
                names = "--for",
                paramLabel = "WHAT",
                description = "${COMPLETION-CANDIDATES}: a broken rule, or the least service.")
        private FaultSearch.SearchGoal quarry = FaultSearch.SearchGoal.RULES;

        @Option(
                names = "--keep",
                paramLabel = "FILE",
                description = "The worst, shrunk, is kept here as a script.")
        private Path keep;

        @Option(
                names = "--threads",
                paramLabel = "N",
                description = "Plays at once; usually one for each core.")
        private int threads = Runtime.getRuntime().availableProcessors();

        @Override
        public Integer call() throws Exception {
            if (storms < 1 || troubles < 1) {
                throw new IllegalArgumentException("at least one storm of one trouble is played");
            }
            FaultGenerator.Ranges usual = FaultGenerator.Ranges.defaults(troubles);
            FaultGenerator.Ranges ranges =
                    new FaultGenerator.Ranges(
                            only.isEmpty() ? usual.faultTypes() : only,
                            troubles,
                            least / 100,
                            most / 100,
                            longest / 100);
            FaultSearch hunt =
                    new FaultSearch(ScenarioParser.read(script), ranges, Math.max(1, threads));
            List<FaultSearch.Failure> all = hunt.run(seed, storms, quarry);
            all.stream()
                    .limit(5)
                    .forEach(
                            c ->
                                    System.out.printf(
                                            "%-40s service %.4f  %s%n",
                                            c.scenario().name(), c.serviceLevel(), c.reason()));
            long broken = all.stream().filter(FaultSearch.Failure::isBroken).count();
            System.out.printf(
                    "%d storms, %d of them broken, mean service %.4f%n",
                    all.size(),
                    broken,
                    all.stream()
                            .mapToDouble(FaultSearch.Failure::serviceLevel)
                            .average()
                            .orElse(0));
            FaultSearch.Failure worst = all.get(0);
            if (worst.isBroken() || quarry == FaultSearch.SearchGoal.SERVICE) {
                FaultSearch.Failure small = hunt.shrink(worst, quarry);
                String text = FaultSearch.script(Files.readString(script), small);
                System.out.printf(
                        "shrunk to %d of %d troubles, service %.4f  %s%n%s",
                        small.scenario().faults().size(),
                        worst.scenario().faults().size(),
                        small.serviceLevel(),
                        small.reason(),
                        keep == null ? text : "");
                if (keep != null) {
                    Files.writeString(keep, text);
                }
            }
            return broken > 0 ? 1 : 0;
        }
    }

    @Command(
            name = "beside",
            mixinStandardHelpOptions = true,
            description =
                    "Plays days on sockets and in the lab and shows service by category beside each other;"
                            + " 1 where a category is further off than allowed.")
    static final class BesideSockets implements Callable<Integer> {
        @Parameters(
                arity = "1..*",
                paramLabel = "SCRIPT",
                description = "Scripts of bad days that sockets can play.")
        private List<Path> scripts;

        @Option(
                names = "--turns",
                paramLabel = "N",
                description =
                        "Plays of the same day in the lab, in which frames travel"
                                + " otherwise (${DEFAULT-VALUE}).")
        private int turns = 5;

        @Option(
                names = "--allowed",
                paramLabel = "POINTS",
                description = "Of a hundred, per category (${DEFAULT-VALUE}).")
        private double allowed = 5;

        @Override
        public Integer call() throws Exception {
            int far = 0;
            System.out.printf(
                    "%-32s %-16s %8s %22s %8s%n",
                    "day", "category", "sockets", "lab, mean and range", "apart");
            for (Scenario day : ScenarioParser.readAll(scripts)) {
                ServiceLevelRecorder sockets;
                try (ScenarioRunner stage = new ScenarioRunner(day, null, false)) {
                    sockets = stage.run(line -> {}).serviceLevels();
                }
                List<ServiceLevelRecorder> plays = new ArrayList<>();
                for (int n = 0; n < Math.max(1, turns); n++) {
                    plays.add(SimulationRun.run(day, null, false, null, n).serviceLevels());
                }
                for (String category : sockets.requestClasses().keySet()) {
                    double here = 100 * sockets.requestClass(category).serviceLevel();
                    var lab =
                            plays.stream()
                                    .mapToDouble(s -> 100 * s.requestClass(category).serviceLevel())
                                    .summaryStatistics();
                    far += Math.abs(lab.getAverage() - here) > allowed ? 1 : 0;
                    System.out.printf(
                            "%-32s %-16s %8.1f %8.1f (%5.1f..%5.1f) %8.1f%n",
                            day.name(),
                            category,
                            here,
                            lab.getAverage(),
                            lab.getMin(),
                            lab.getMax(),
                            lab.getAverage() - here);
                }
            }
            System.out.printf("%d categories are further apart than %.1f points%n", far, allowed);
            return far == 0 ? 0 : 1;
        }
    }
}
