package milletyoke.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Configurations made from the grammar's own structure: formatting changes nothing, each change of
 * meaning is found.
 */
class GeneratedTest {
    /** Pieces of one text, so that white space and remarks can be put between any two. */
    private static final class Text {
        final SplittableRandom chance;
        final List<String> tokens = new ArrayList<>();

        Text(long seed) {
            chance = new SplittableRandom(seed);
        }

        void add(String... some) {
            tokens.addAll(List.of(some));
        }

        String pick(String... some) {
            return some[chance.nextInt(some.length)];
        }

        /** A figure in one of the ways that it can be written. */
        void figure(int least, int most, String unit) {
            int value = least + chance.nextInt(most - least + 1);
            switch (chance.nextInt(4)) {
                case 0 -> add("(", value + unit, ")");
                case 1 -> add(value + unit, "*", "1");
                case 2 -> add(value + unit, "+", "0" + unit);
                default -> add(value + unit);
            }
        }

        String plain() {
            return String.join(" ", tokens).replace(" ;", ";");
        }

        /** The same with any white space and remarks between tokens. */
        String shaken() {
            StringBuilder out = new StringBuilder();
            for (String token : tokens) {
                out.append(
                                pick(
                                        " ",
                                        "  ",
                                        "\n",
                                        "\t",
                                        "\r\n",
                                        "\n\n\n",
                                        " # why not\n",
                                        "\n    # on its own\n\n"))
                        .append(token);
            }
            return out + pick("", "\n", " # the last word");
        }
    }

    private static Text generate(long seed) {
        Text t = new Text(seed);
        int plans = 1 + t.chance.nextInt(5),
                categories = 1 + t.chance.nextInt(4),
                volumes = t.chance.nextInt(12);
        t.add("let", "base", "=");
        t.figure(1, 9, "u/s");
        t.add(
                ";",
                "fleet",
                "{",
                "initiators",
                String.valueOf(1 + t.chance.nextInt(9)),
                ";",
                "list",
                t.pick("pushed", "asked"),
                ";",
                "}");
        t.add("bounds", "{", "answer-slack");
        t.figure(10, 90, "ms");
        t.add(";", "cold");
        t.figure(5, 20, "s");
        t.add(";", "fall");
        t.figure(1, 4, "s");
        t.add(
                ";",
                "cold-share",
                1 + t.chance.nextInt(99) + "%",
                ";",
                "cold-bears",
                "11u",
                ";",
                "}");
        t.add("template", "common", "{", "weight");
        t.figure(1, 5, "");
        t.add(";", "}");
        for (int i = 0; i < plans; i++) {
            t.add("plan", "plan-" + i);
            if (t.chance.nextBoolean()) {
                t.add("like", "common");
            }
            t.add(
                    "{",
                    "reserve",
                    "base",
                    "*",
                    String.valueOf(1 + t.chance.nextInt(3)),
                    ";",
                    "limit-rate");
            t.figure(100, 200, "u/s");
            t.add(";", "limit-depth");
            t.figure(100, 200, "u");
            t.add(";", "}");
        }
        for (int i = 0; i < categories; i++) {
            t.add(
                    "category",
                    "\"category " + i + "\"",
                    "{",
                    "repeats",
                    t.pick("harmless", "stamped", "one-shot"),
                    ";",
                    "repeat-window",
                    "2500ms",
                    ";",
                    "agreed");
            t.figure(100, 900, "ms");
            t.add(";", "}");
        }
        t.add(
                "pool", "main", "{", "targets", "a", ",", "b", ";", "}", "pool", "spare", "{",
                "targets", "\"c d\"", ";", "}");
        for (int i = 0; i < volumes; i++) {
            t.add(
                    "volume",
                    "v" + i + t.pick("", "-*"),
                    "{",
                    "plan",
                    "plan-" + t.chance.nextInt(plans),
                    ";",
                    "hosts",
                    String.valueOf(1 + t.chance.nextInt(4)),
                    ";",
                    "}");
            t.add("route", "volume", "v" + i + "-*", "to", t.pick("main", "spare"), ";");
        }
        t.add("route", "prefix", "\"/scores/\"", "to", "main", ";");
        return t;
    }

    private static Fleet meaning(String text) {
        Checker.Result r = InMemorySourceProvider.check(text);
        assertTrue(r.isValid(), () -> r.diagnostics() + "\n" + text);
        return r.fleet();
    }

    private static String formatted(String text) {
        List<Diagnostic> findings = new ArrayList<>();
        String out = Formatter.format("f", text, findings);
        assertNotNull(out, findings::toString);
        return out;
    }

    @Property(tries = 1000, seed = "20261201")
    void formattingTwiceChangesNoByteAndNoMeaning(@ForAll long seed) {
        Text t = generate(seed);
        Fleet plain = meaning(t.plain());
        for (String text : List.of(t.plain(), t.shaken())) {
            String once = formatted(text);
            assertEquals(once, formatted(once));
            assertEquals(List.of(), FleetDiff.between(plain, meaning(once)));
            assertEquals(plain, meaning(text), "white space and remarks mean nothing");
            assertEquals(remarks(text), remarks(once), "no remark is lost");
        }
    }

    private static long remarks(String text) {
        return text.chars().filter(c -> c == '#').count();
    }

    /** What shows a meaning, read again, means the same. */
    @Property(tries = 200, seed = "20261201")
    void whatIsShownMeansTheSame(@ForAll long seed) {
        Fleet plain = meaning(generate(seed).plain());
        assertEquals(List.of(), FleetDiff.between(plain, meaning(plain.show())));
    }

    /** Any one figure, word or block that changes its meaning is found, and nothing else is. */
    @Property(tries = 500, seed = "20261201")
    void everySingleChangeIsFound(@ForAll long seed) {
        Text t = generate(seed);
        Fleet before = meaning(t.plain());
        List<Integer> places = new ArrayList<>();
        for (int i = 0; i < t.tokens.size(); i++) {
            String token = t.tokens.get(i);
            boolean zero =
                    token.matches("0(u/s|u|ms|s|)")
                            || token.equals("1") && t.tokens.get(i - 1).equals("*");
            if (token.matches("[0-9]+(u/s|u|ms|s|)") && !zero) {
                places.add(i);
            }
        }
        int at = places.get(t.chance.nextInt(places.size()));
        String old = t.tokens.get(at);
        String unit = old.replaceAll("[0-9]", "");
        int value = Integer.parseInt(old.substring(0, old.length() - unit.length()));
        t.tokens.set(at, value + 1 + unit);
        Checker.Result after = InMemorySourceProvider.check(t.plain());
        if (after.isValid()) { // a change may also be refused, as fall over cold
            List<FleetDiff.Change> changes = FleetDiff.between(before, after.fleet());
            boolean constant = t.tokens.get(1).equals("base") && at < t.tokens.indexOf(";");
            boolean common = at > t.tokens.indexOf("common") && at < t.tokens.indexOf("plan");
            if (constant || common) {
                assertTrue(common || !changes.isEmpty(), "a constant changes all that rest on it");
            } else {
                assertEquals(
                        1,
                        changes.size(),
                        () -> old + " at " + at + " of " + t.plain() + ": " + changes);
            }
        }
    }

    /**
     * Mutated text: findings or a meaning, never an exception, and every finding names a line that
     * there is.
     */
    @Property(tries = 1000, seed = "20261201")
    void noTextBreaksTheParser(@ForAll long seed) {
        Text t = generate(seed);
        StringBuilder text = new StringBuilder(t.shaken());
        for (int i = 0, n = 1 + t.chance.nextInt(6); i < n; i++) {
            if (text.isEmpty()) {
                text.append("plan");
            }
            int at = t.chance.nextInt(text.length());
            switch (t.chance.nextInt(5)) {
                case 0 -> text.deleteCharAt(at);
                case 1 ->
                        text.insert(
                                at,
                                t.pick(
                                        "{",
                                        "}",
                                        "(",
                                        ";",
                                        "\"",
                                        "#",
                                        "-",
                                        "\u0000",
                                        "é",
                                        "\uD800",
                                        "99999999999"));
                case 2 -> text.setCharAt(at, (char) t.chance.nextInt(1, 300));
                case 3 -> text.setLength(Math.max(1, at));
                default ->
                        text.insert(
                                at,
                                text.substring(
                                        at, Math.min(text.length(), at + t.chance.nextInt(200))));
            }
        }
        Checker.Result r = InMemorySourceProvider.check(text.toString());
        long lines = text.toString().lines().count();
        for (Diagnostic f : r.diagnostics()) {
            assertTrue(f.line() >= 1 && f.line() <= lines + 1, f::text);
            assertFalse(f.text().isBlank());
        }
        assertEquals(r.isValid(), r.fleet() != null);
        Formatter.format("f", text.toString(), new ArrayList<>());
    }
}
