package milletyoke.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import milletyoke.config.Quantity.Dimension;
import milletyoke.config.SyntaxTree.Block;
import milletyoke.config.SyntaxTree.Position;
import milletyoke.config.SyntaxTree.Setting;

/**
 * Finds everything wrong with a configuration in one pass, and what it means. What is wrong in one
 * place is left out of what the rest is checked against, so one slip gives one finding.
 *
 * <p>Precedence: a file's own block hides, whole, one of the same kind and name in a file that it
 * includes; two such blocks in one file, or in two files neither of which includes the other, are
 * an error. Within a block, its own settings hide those of the block or template that it is like. A
 * volume's own block hides patterns; of patterns the longest counts.
 */
public final class Checker {
    private static final int MOST_FILES = 1_000, MOST_FINDINGS = 1_000;
    private static final long MOST_TEXT = 64L << 20;

    /** What came of it; {@code fleet} is null where there is any error. */
    public record Result(Fleet fleet, List<Diagnostic> diagnostics, List<String> files) {
        public boolean isValid() {
            return diagnostics.stream().noneMatch(Diagnostic::isError);
        }
    }

    /** Stands for a setting that is there and wrong: it was told, and is not missing. */
    private static final List<Object> WRONG = new ArrayList<>();

    private final SourceProvider library;
    private final List<Diagnostic> findings = new ArrayList<>();
    private final Map<String, SyntaxTree.File> files = new LinkedHashMap<>();
    private final Map<String, String> texts = new HashMap<>();
    private final Map<String, List<String>> lines = new HashMap<>();
    private final ArrayDeque<String> open = new ArrayDeque<>();
    private final Map<String, Set<String>> includes = new HashMap<>();
    private final Map<String, SyntaxTree.Let> lets = new LinkedHashMap<>();
    private final Map<String, Quantity> constants = new HashMap<>();
    private final Set<String> evaluating = new LinkedHashSet<>();
    private final Map<String, Block> blocks = new LinkedHashMap<>();
    private final List<SyntaxTree.Route> routes = new ArrayList<>();
    private final Map<String, SortedMap<String, List<Object>>> settled = new HashMap<>();
    private long read;

    private Checker(SourceProvider library) {
        this.library = library;
    }

    /**
     * @param file as the library names it
     */
    public static Result check(SourceProvider library, String file) {
        Checker checker = new Checker(library);
        checker.load(file, null);
        Fleet fleet = checker.mean();
        checker.findings.sort(
                Comparator.comparing(Diagnostic::file)
                        .thenComparingInt(Diagnostic::line)
                        .thenComparingInt(Diagnostic::column));
        boolean clean = checker.findings.stream().noneMatch(Diagnostic::isError);
        return new Result(
                clean ? fleet : null,
                List.copyOf(checker.findings),
                List.copyOf(checker.files.keySet()));
    }

    // ---- Findings ----

    private void error(Position at, String code, String message, String hint) {
        found(true, at, code, message, hint, List.of());
    }

    private void warn(Position at, String code, String message, String hint) {
        found(false, at, code, message, hint, List.of());
    }

    private void found(
            boolean error,
            Position at,
            String code,
            String message,
            String hint,
            List<String> chain) {
        if (findings.size() < MOST_FINDINGS) {
            List<String> of =
                    lines.computeIfAbsent(
                            at.file(), f -> texts.getOrDefault(f, "").lines().toList());
            String shown = at.line() >= 1 && at.line() <= of.size() ? of.get(at.line() - 1) : "";
            findings.add(
                    new Diagnostic(
                            error,
                            code,
                            at.file(),
                            at.line(),
                            at.column(),
                            message,
                            hint,
                            shown,
                            chain));
        }
    }

    // ---- Files ----

    private void load(String file, Position from) {
        if (open.contains(file)) {
            List<String> chain = new ArrayList<>();
            open.descendingIterator().forEachRemaining(f -> chain.add(f + " includes"));
            chain.add(file + ", which is open already");
            found(
                    true,
                    from,
                    "cycle",
                    "this include comes back to a file that is being read",
                    "take one include out",
                    chain);
            return;
        }
        if (files.containsKey(file)) {
            return; // included twice, by whatever names: once is enough
        }
        if (files.size() >= MOST_FILES || open.size() >= FleetReader.MAX_DEPTH) {
            error(
                    from,
                    "size",
                    "over "
                            + MOST_FILES
                            + " files, or includes deeper than "
                            + FleetReader.MAX_DEPTH,
                    "");
            return;
        }
        String text;
        try {
            text = library.text(file);
        } catch (SourceProvider.UnreadableSourceException unreadable) {
            Position at = from == null ? new Position(file, 1, 1) : from;
            error(at, "file", file + " cannot be read: " + unreadable.getMessage(), "");
            return;
        }
        read += text.length();
        if (read > MOST_TEXT) {
            error(
                    from == null ? new Position(file, 1, 1) : from,
                    "size",
                    "over " + MOST_TEXT + " characters in all files",
                    "");
            return;
        }
        texts.put(file, text);
        SyntaxTree.File syntax = FleetReader.read(file, text, findings);
        files.put(file, syntax);
        open.push(file);
        for (SyntaxTree.Statement s : syntax.statements()) {
            if (s instanceof SyntaxTree.Include i) {
                include(file, i);
            } else if (s instanceof SyntaxTree.Let l) {
                define(l);
            } else if (s instanceof SyntaxTree.Block b) {
                place(b);
            } else if (s instanceof SyntaxTree.Route r) {
                routes.add(r);
            }
        }
        open.pop();
    }

    private void include(String file, SyntaxTree.Include i) {
        List<String> found;
        try {
            found = library.find(file, i.pattern());
        } catch (SourceProvider.UnreadableSourceException unreadable) {
            error(i.at(), "file", "\"" + i.pattern() + "\": " + unreadable.getMessage(), "");
            return;
        }
        if (found.isEmpty()) {
            error(
                    i.at(),
                    "file",
                    "no file fits \"" + i.pattern() + "\"",
                    "an include is relative to the file it stands in");
        }
        for (String f : found) {
            includes.computeIfAbsent(file, x -> new LinkedHashSet<>()).add(f);
            load(f, i.at());
        }
    }

    private boolean reaches(String from, String to) {
        Set<String> seen = new LinkedHashSet<>(List.of(from));
        ArrayDeque<String> next = new ArrayDeque<>(seen);
        while (!next.isEmpty()) {
            for (String f : includes.getOrDefault(next.pop(), Set.of())) {
                if (f.equals(to)) {
                    return true;
                }
                if (seen.add(f)) {
                    next.add(f);
                }
            }
        }
        return false;
    }

    private void define(SyntaxTree.Let l) {
        SyntaxTree.Let before = lets.putIfAbsent(l.name(), l);
        if (before != null) {
            error(
                    l.at(),
                    "twice",
                    "constant " + l.name() + " is defined already at " + place(before.at()),
                    "");
        }
    }

    private static String place(Position at) {
        return at.file() + ":" + at.line();
    }

    private void place(Block b) {
        String key = b.kind() + " " + b.name();
        Block before = blocks.get(key);
        if (before == null) {
            blocks.put(key, b);
            return;
        }
        String a = before.at().file(), c = b.at().file();
        if (!a.equals(c) && reaches(c, a)) {
            blocks.put(key, b);
        } else if (a.equals(c) || !reaches(a, c)) {
            error(
                    b.at(),
                    "twice",
                    key.trim() + " stands already at " + place(before.at()),
                    "only a file that includes the other may hide its block");
        }
    }

    // ---- Figures ----

    private Quantity evaluate(SyntaxTree.Expression e) throws Quantity.QuantityFormatException {
        if (e instanceof SyntaxTree.NumberLiteral f) {
            return Quantity.of(f.text());
        } else if (e instanceof SyntaxTree.NameReference w) {
            return constant(w);
        } else if (e instanceof SyntaxTree.Negation m) {
            Quantity of = evaluate(m.operand());
            return new Quantity(-of.value(), of.dimension());
        }
        SyntaxTree.Binary b = (SyntaxTree.Binary) e;
        Quantity left = evaluate(b.left()), right = evaluate(b.right());
        return switch (b.operator()) {
            case '*' -> left.times(right);
            case '/' -> left.dividedBy(right);
            case '+' -> left.plus(right, 1);
            default -> left.plus(right, -1);
        };
    }

    private Quantity constant(SyntaxTree.NameReference w) throws Quantity.QuantityFormatException {
        Quantity known = constants.get(w.name());
        if (known != null) {
            return known;
        }
        SyntaxTree.Let let = lets.get(w.name());
        if (let == null) {
            throw new Quantity.QuantityFormatException(
                    "name",
                    "no constant is called " + w.name(),
                    lets.isEmpty()
                            ? ""
                            : "did you mean "
                                    + NameSuggestions.nearest(w.name(), lets.keySet())
                                    + "?");
        }
        if (!evaluating.add(w.name()) || evaluating.size() > FleetReader.MAX_DEPTH) {
            throw new Quantity.QuantityFormatException(
                    "cycle",
                    "constant "
                            + w.name()
                            + " rests on itself, or on over "
                            + FleetReader.MAX_DEPTH
                            + " others: "
                            + String.join(", ", evaluating),
                    "");
        }
        try {
            Quantity value = evaluate(let.value());
            constants.put(w.name(), value);
            return value;
        } finally {
            evaluating.remove(w.name());
        }
    }

    // ---- Blocks ----

    private Fleet mean() {
        lets.values()
                .forEach(
                        l -> {
                            try {
                                constant(new SyntaxTree.NameReference(l.at(), l.name()));
                            } catch (Quantity.QuantityFormatException wrong) {
                                error(l.value().at(), wrong.code, wrong.getMessage(), wrong.hint);
                            }
                        });
        SortedMap<String, Fleet.Block> meant = new TreeMap<>();
        blocks.forEach(
                (key, b) -> {
                    if (!b.kind().equals("template")) {
                        meant.put(key, new Fleet.Block(b.kind(), b.name(), withDefaults(b)));
                    }
                });
        for (String single : List.of("bounds", "allowances")) {
            meant.computeIfAbsent(single + " ", k -> new Fleet.Block(single, "", defaults(single)));
        }
        Set<String> cut = Set.of("size", "depth", "syntax", "file", "cycle");
        boolean whole =
                findings.stream()
                        .noneMatch(
                                f ->
                                        cut.contains(
                                                f.code())); // else more may stand where it was cut
        if (whole && !meant.containsKey("fleet ")) {
            error(
                    first(),
                    "missing",
                    "no fleet block says how many initiators there are",
                    "fleet { initiators 3; }");
        }
        if (whole && meant.values().stream().noneMatch(b -> b.kind().equals("category"))) {
            error(first(), "missing", "no category is given", "");
        }
        if (whole && meant.values().stream().noneMatch(b -> b.kind().equals("plan"))) {
            error(first(), "missing", "no plan is given", "");
        }
        List<Fleet.Route> toPools = new ArrayList<>();
        routes.forEach(r -> toPools.add(new Fleet.Route(r.what(), r.pattern(), r.pool())));
        Fleet fleet = new Fleet(meant, List.copyOf(toPools));
        references(fleet);
        routesReach();
        patterns();
        if (findings.stream().noneMatch(Diagnostic::isError)) {
            sense(fleet);
        }
        return fleet;
    }

    private Position first() {
        return new Position(files.isEmpty() ? "" : files.keySet().iterator().next(), 1, 1);
    }

    private SortedMap<String, List<Object>> defaults(String kind) {
        SortedMap<String, List<Object>> all = new TreeMap<>();
        Schema.KINDS
                .get(kind)
                .forEach(
                        (name, field) -> {
                            if (field.defaultValue() != null && !field.defaultValue().isEmpty()) {
                                all.put(name, List.of(usual(field)));
                            }
                        });
        return all;
    }

    private static Object usual(Schema.Field field) {
        try {
            return field.type().dimension() == null
                    ? field.defaultValue()
                    : Quantity.of(field.defaultValue());
        } catch (Quantity.QuantityFormatException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private SortedMap<String, List<Object>> withDefaults(Block b) {
        SortedMap<String, List<Object>> all = defaults(b.kind());
        all.putAll(settle(b, b.kind(), new LinkedHashSet<>()));
        Schema.KINDS
                .get(b.kind())
                .forEach(
                        (name, field) -> {
                            if (field.defaultValue() == null && !all.containsKey(name)) {
                                error(
                                        b.at(),
                                        "missing",
                                        b.kind() + " " + b.name() + " has no " + name,
                                        "as " + example(name, field.type()));
                            }
                        });
        all.values().removeIf(v -> v == WRONG);
        return all;
    }

    private static String example(String name, Schema.Type type) {
        return name
                + " "
                + (type.dimension() != null
                        ? type.dimension().example()
                        : type.keywords() != null
                                ? type.keywords().get(0)
                                : type.referencedKind() != null ? "NAME" : "a, b")
                + ";";
    }

    /** Its own settings over those of what it is like. */
    private SortedMap<String, List<Object>> settle(Block b, String kind, Set<String> path) {
        String key = kind + "|" + b.kind() + " " + b.name();
        SortedMap<String, List<Object>> known = settled.get(key);
        if (known != null) {
            return known;
        }
        SortedMap<String, List<Object>> all = new TreeMap<>();
        if (!path.add(key) || path.size() > FleetReader.MAX_DEPTH) {
            error(
                    b.parentAt(),
                    "cycle",
                    b.kind()
                            + " "
                            + b.name()
                            + " is like itself, or like over "
                            + FleetReader.MAX_DEPTH
                            + " others in a row",
                    "");
            return all;
        }
        if (b.parent() != null) {
            Block parent =
                    blocks.getOrDefault(
                            "template " + b.parent(), blocks.get(b.kind() + " " + b.parent()));
            if (parent == null) {
                Set<String> near = names(b.kind());
                near.addAll(names("template"));
                unknown(b.parentAt(), "template or " + b.kind(), b.parent(), near);
            } else {
                all.putAll(settle(parent, kind, path));
            }
        }
        Map<String, Schema.Field> fields = Schema.KINDS.get(kind);
        Map<String, Position> seen = new HashMap<>();
        for (Setting s : b.settings()) {
            Schema.Field field = fields.get(s.name());
            if (field == null) {
                error(
                        s.at(),
                        "name",
                        kind + " has no setting " + s.name(),
                        "did you mean "
                                + NameSuggestions.nearest(s.name(), fields.keySet())
                                + "? Known are "
                                + String.join(", ", fields.keySet()));
            } else if (seen.put(s.name(), s.at()) != null) {
                error(s.at(), "twice", s.name() + " stands there twice in this block", "");
            } else {
                List<Object> values = values(s, field.type());
                all.put(s.name(), values == null ? WRONG : values);
            }
        }
        settled.put(key, all);
        return all;
    }

    private List<Object> values(Setting s, Schema.Type type) {
        if (s.values().isEmpty()) {
            return null; // the parser has told
        }
        if (s.values().size() > 1 && !type.isList()) {
            error(s.values().get(1).at(), "type", s.name() + " takes one value", "");
            return null;
        }
        List<Object> all = new ArrayList<>();
        for (SyntaxTree.Value v : s.values()) {
            Object value = type.dimension() != null ? figure(s, v, type) : word(s, v, type);
            if (value == null) {
                return null;
            }
            all.add(value);
        }
        return List.copyOf(all);
    }

    private Quantity figure(Setting s, SyntaxTree.Value v, Schema.Type type) {
        Dimension wanted = type.dimension();
        if (v.expression() == null) {
            error(
                    v.at(),
                    "type",
                    s.name() + " takes " + wanted.description() + ", not text",
                    "as " + example(s.name(), type));
            return null;
        }
        try {
            Quantity q = evaluate(v.expression());
            if (q.dimension() != wanted) {
                error(
                        v.at(),
                        "unit",
                        s.name()
                                + " takes "
                                + wanted.description()
                                + ", and "
                                + q
                                + " is "
                                + q.dimension().description(),
                        "did you mean "
                                + Quantity.formatNumber(shownFigure(v, q))
                                + unit(wanted)
                                + "?");
                return null;
            }
            if (!(q.value() >= type.min() && q.value() <= type.max())) {
                error(
                        v.at(),
                        "range",
                        s.name()
                                + ": "
                                + q
                                + " is out of range, "
                                + new Quantity(type.min(), wanted)
                                + " to "
                                + new Quantity(type.max(), wanted)
                                + " is",
                        "");
                return null;
            }
            if (wanted == Dimension.NONE
                    && type.max() == 100_000
                    && q.value() != Math.rint(q.value())) {
                error(v.at(), "range", s.name() + " takes a whole number", "");
                return null;
            }
            return q;
        } catch (Quantity.QuantityFormatException wrong) {
            error(v.expression().at(), wrong.code, wrong.getMessage(), wrong.hint);
            return null;
        }
    }

    /** The figure as it was written, so that the hint changes the unit alone. */
    private static double shownFigure(SyntaxTree.Value v, Quantity q) {
        if (v.expression() instanceof SyntaxTree.NumberLiteral f) {
            String digits = f.text().replaceAll("[^0-9.].*$", "");
            return Double.parseDouble(digits);
        }
        return q.value();
    }

    private static String unit(Dimension wanted) {
        return wanted.example().replaceAll("^[0-9.]+", "");
    }

    private String word(Setting s, SyntaxTree.Value v, Schema.Type type) {
        String text =
                v.text() != null
                        ? v.text()
                        : v.expression() instanceof SyntaxTree.NameReference w ? w.name() : null;
        if (text == null) {
            error(
                    v.at(),
                    "type",
                    s.name()
                            + " takes "
                            + (type.keywords() != null
                                    ? "one of " + String.join(", ", type.keywords())
                                    : "a name")
                            + ", not a figure",
                    "");
            return null;
        }
        if (type.keywords() != null && !type.keywords().contains(text)) {
            error(
                    v.at(),
                    "type",
                    s.name()
                            + " takes one of "
                            + String.join(", ", type.keywords())
                            + ", not "
                            + text,
                    "did you mean " + NameSuggestions.nearest(text, type.keywords()) + "?");
            return null;
        }
        return text;
    }

    // ---- What hangs together ----

    private Set<String> names(String kind) {
        Set<String> all = new TreeSet<>();
        blocks.values().stream().filter(b -> b.kind().equals(kind)).forEach(b -> all.add(b.name()));
        return all;
    }

    private void unknown(Position at, String kind, String name, Set<String> known) {
        error(
                at,
                "name",
                "no " + kind + " is called " + name,
                known.isEmpty()
                        ? "none is defined"
                        : "did you mean " + NameSuggestions.nearest(name, known) + "?");
    }

    private void references(Fleet fleet) {
        Map<String, Set<String>> known = new HashMap<>();
        blocks.forEach(
                (key, b) -> {
                    Map<String, Schema.Field> fields = Schema.KINDS.get(b.kind());
                    Fleet.Block meant = fleet.blocks().get(key);
                    if (fields == null || meant == null) {
                        return;
                    }
                    fields.forEach(
                            (name, field) -> {
                                String kind = field.type().referencedKind();
                                String value = kind == null ? "" : meant.text(name);
                                if (!value.isEmpty()
                                        && !known.computeIfAbsent(kind, this::names)
                                                .contains(value)) {
                                    unknown(where(b, name), kind, value, known.get(kind));
                                }
                            });
                });
        Set<String> pools = names("pool");
        routes.stream()
                .filter(r -> !pools.contains(r.pool()))
                .forEach(r -> unknown(r.poolAt(), "pool", r.pool(), pools));
    }

    private static Position where(Block b, String setting) {
        return b.settings().stream()
                .filter(s -> s.name().equals(setting) && !s.values().isEmpty())
                .map(s -> s.values().get(0).at())
                .findFirst()
                .orElse(b.at());
    }

    /** A route behind one that takes all it could take is never reached. */
    private void routesReach() {
        Map<String, SyntaxTree.Route> taken = new HashMap<>();
        for (SyntaxTree.Route r : routes) {
            String bare =
                    r.pattern().endsWith("*")
                            ? r.pattern().substring(0, r.pattern().length() - 1)
                            : r.pattern();
            boolean whole = r.pattern().endsWith("*") || r.what().equals("prefix");
            SyntaxTree.Route before = whole ? null : taken.get(r.what() + "=" + bare);
            for (int n = 0; n <= bare.length() && before == null; n++) {
                before = taken.get(r.what() + "^" + bare.substring(0, n));
            }
            if (before != null) {
                warn(
                        r.at(),
                        "unreachable",
                        "this route is never reached: "
                                + before.pattern()
                                + " at "
                                + place(before.at())
                                + " takes all of it",
                        "routes are tried in order; the narrow one goes first");
            } else {
                taken.put(r.what() + (whole ? "^" : "=") + bare, r);
            }
        }
    }

    /**
     * Patterns one within another are allowed, the longest counts; that it is meant is worth a
     * look.
     */
    private void patterns() {
        Map<String, Block> prefixes = new HashMap<>();
        blocks.values().stream()
                .filter(b -> b.kind().equals("volume") && b.name().endsWith("*"))
                .forEach(b -> prefixes.put(b.name().substring(0, b.name().length() - 1), b));
        prefixes.forEach(
                (prefix, b) -> {
                    for (int n = 0; n < prefix.length(); n++) {
                        Block wider = prefixes.get(prefix.substring(0, n));
                        if (wider != null) {
                            warn(
                                    b.at(),
                                    "overlap",
                                    "volume "
                                            + b.name()
                                            + " lies within "
                                            + wider.name()
                                            + " at "
                                            + place(wider.at()),
                                    "the longer pattern counts");
                            return;
                        }
                    }
                });
    }

    /** What is well formed and cannot be meant. */
    private void sense(Fleet fleet) {
        Fleet.Block bounds = fleet.single("bounds");
        Position at = blocks.containsKey("bounds ") ? blocks.get("bounds ").at() : first();
        if (bounds.number("fall") > 0 && bounds.number("cold") == 0) {
            error(
                    at,
                    "bounds",
                    "fall is stated and cold is not: no target would ever count as cold",
                    "cold 17s;");
        }
        if (bounds.number("cold") > 0 && bounds.number("fall") > bounds.number("cold")) {
            error(at, "bounds", "a target is warm before it could fall", "fall must be under cold");
        }
        if (bounds.number("fall") > 0 && bounds.number("cold-bears") < bounds.number("largest")) {
            warn(
                    at,
                    "bounds",
                    "cold-bears is under one largest access: a cold target may get nothing for long",
                    "");
        }
        if (bounds.number("relay-budget-span") > 0
                && bounds.number("relay-budget-free") < 1
                && bounds.number("relay-budget-share") == 0) {
            warn(at, "bounds", "the relay budget allows no further relay at all", "");
        }
        for (Fleet.Block c : fleet.blocksOfKind("category")) {
            category(fleet, c);
        }
        for (Fleet.Block p : fleet.blocksOfKind("plan")) {
            plan(fleet, p, bounds);
        }
        reserves(fleet);
    }

    private void category(Fleet fleet, Fleet.Block c) {
        Position at = blocks.get("category " + c.name()).at();
        if (c.text("repeats").equals("stamped") && c.number("repeat-window") == 0) {
            error(
                    at,
                    "category",
                    "category " + c.name() + " is stamped and states no repeat-window",
                    "repeat-window 2500ms;");
        }
        if (c.text("repeats").equals("one-shot") && c.number("repeat-window") > 0) {
            warn(
                    at,
                    "category",
                    "category "
                            + c.name()
                            + " is one-shot: no relay may follow one that may have run, so its"
                            + " repeat-window is never used",
                    "stamped is what knows repeats");
        }
        if (c.flag("key-ordered") && fleet.single("bounds").number("key-quiet") == 0) {
            warn(
                    at,
                    "category",
                    "category " + c.name() + " is key-ordered and bounds state no key-quiet",
                    "after a time-out the next of its key goes at once");
        }
    }

    private void plan(Fleet fleet, Fleet.Block p, Fleet.Block bounds) {
        Position at = blocks.get("plan " + p.name()).at();
        if (p.number("limit-rate") == 0) {
            return;
        }
        if (p.number("limit-depth") == 0) {
            error(
                    at,
                    "limit",
                    "plan "
                            + p.name()
                            + " has a limit-rate and no limit-depth: nothing could be sent",
                    "limit-depth 36u;");
            return;
        }
        if (p.number("reserve") > p.number("limit-rate")) {
            error(
                    at,
                    "limit",
                    "plan " + p.name() + " reserves more than its limit lets through",
                    "");
        }
        double hosts =
                fleet.blocksOfKind("volume").stream()
                        .filter(v -> v.text("plan").equals(p.name()))
                        .mapToDouble(v -> v.number("hosts"))
                        .max()
                        .orElse(1);
        double part = (p.number("limit-depth") + 0.9 * p.number("limit-slack")) / hosts;
        if (part < bounds.number("largest")) {
            warn(
                    at,
                    "limit",
                    String.format(
                            java.util.Locale.ROOT,
                            "plan %s: one host's part of the limit holds %s, under"
                                    + " one largest access of %s",
                            p.name(),
                            new Quantity(Math.floor(part * 100) / 100, Dimension.UNITS),
                            new Quantity(bounds.number("largest"), Dimension.UNITS)),
                    "such an access could never be sent");
        }
    }

    /**
     * Each volume that is named is counted where its route leads; a pattern counts once, as nobody
     * knows how many fall to it.
     */
    private void reserves(Fleet fleet) {
        Map<String, Double> sums = new TreeMap<>();
        for (Fleet.Block v : fleet.blocksOfKind("volume")) {
            Fleet.Block plan = fleet.block("plan", v.text("plan"));
            String pool = fleet.route("volume", v.name());
            if (pool != null && plan != null) {
                sums.merge(pool, plan.number("reserve"), Double::sum);
            }
        }
        sums.forEach(
                (pool, sum) -> {
                    double bears = fleet.block("pool", pool).number("capacity");
                    if (bears > 0 && sum > bears) {
                        error(
                                blocks.get("pool " + pool).at(),
                                "reserve",
                                "pool "
                                        + pool
                                        + " bears "
                                        + new Quantity(bears, Dimension.RATE)
                                        + " and "
                                        + new Quantity(sum, Dimension.RATE)
                                        + " are reserved on it",
                                "");
                    }
                });
    }
}
