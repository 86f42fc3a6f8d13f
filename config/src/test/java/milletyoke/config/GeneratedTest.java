package milletyoke.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Properties of generated configurations: formatting keeps the meaning, a diff finds each change of
 * meaning, and invalid text never causes an exception.
 */
class GeneratedTest {
    private static final String[] INSERTIONS = {
        "{", "}", "(", ";", "\"", "#", "-", "\u0000", "é", "\uD800", "99999999999"
    };

    private static Fleet resolve(String text) {
        Checker.Result result = InMemorySourceProvider.check(text);
        assertTrue(result.isValid(), () -> result.diagnostics() + "\n" + text);
        return result.fleet();
    }

    private static String format(String text) {
        List<Diagnostic> diagnostics = new ArrayList<>();
        String out = Formatter.format("f", text, diagnostics);
        assertNotNull(out, diagnostics::toString);
        return out;
    }

    @Property(tries = 1000, seed = "20261201")
    void formattingIsIdempotentAndKeepsTheMeaning(@ForAll long seed) {
        GeneratedFleet generated = GeneratedFleet.generate(seed);
        Fleet plain = resolve(generated.text());
        for (String text : List.of(generated.text(), generated.textWithRandomWhitespace())) {
            String once = format(text);
            assertEquals(once, format(once));
            assertEquals(List.of(), FleetDiff.between(plain, resolve(once)));
            assertEquals(plain, resolve(text), "white space and comments have no meaning");
            assertEquals(commentCount(text), commentCount(once), "no comment is lost");
        }
    }

    private static long commentCount(String text) {
        return text.chars().filter(c -> c == '#').count();
    }

    /** Parsing the text of {@link Fleet#show} gives an equal fleet. */
    @Property(tries = 200, seed = "20261201")
    void shownTextHasTheSameMeaning(@ForAll long seed) {
        Fleet plain = resolve(GeneratedFleet.generate(seed).text());
        assertEquals(List.of(), FleetDiff.between(plain, resolve(plain.show())));
    }

    /** A change of a single number gives exactly one change in the diff. */
    @Property(tries = 500, seed = "20261201")
    void everySingleChangeIsFound(@ForAll long seed) {
        GeneratedFleet generated = GeneratedFleet.generate(seed);
        Fleet before = resolve(generated.text());
        List<Integer> positions = new ArrayList<>();
        for (int i = 0; i < generated.tokens.size(); i++) {
            String token = generated.tokens.get(i);
            boolean isNeutral =
                    token.matches("0(u/s|u|ms|s|)")
                            || (token.equals("1") && generated.tokens.get(i - 1).equals("*"));
            if (token.matches("[0-9]+(u/s|u|ms|s|)") && !isNeutral) {
                positions.add(i);
            }
        }
        int at = positions.get(generated.random.nextInt(positions.size()));
        String old = generated.tokens.get(at);
        String unit = old.replaceAll("[0-9]", "");
        int value = Integer.parseInt(old.substring(0, old.length() - unit.length()));
        generated.tokens.set(at, value + 1 + unit);
        Checker.Result after = InMemorySourceProvider.check(generated.text());
        if (after.isValid()) { // a change may also be invalid, such as fall above cold
            List<FleetDiff.Change> changes = FleetDiff.between(before, after.fleet());
            boolean isConstant =
                    generated.tokens.get(1).equals("base") && at < generated.tokens.indexOf(";");
            boolean isInTemplate =
                    at > generated.tokens.indexOf("common")
                            && at < generated.tokens.indexOf("plan");
            if (isConstant || isInTemplate) {
                assertTrue(
                        isInTemplate || !changes.isEmpty(),
                        "a changed constant changes no setting that depends on it");
            } else {
                assertEquals(
                        1,
                        changes.size(),
                        () -> old + " at " + at + " of " + generated.text() + ": " + changes);
            }
        }
    }

    /** Mutated text gives diagnostics at existing lines or a fleet, never an exception. */
    @Property(tries = 1000, seed = "20261201")
    void mutatedTextNeverFailsTheParser(@ForAll long seed) {
        GeneratedFleet generated = GeneratedFleet.generate(seed);
        String text = mutate(generated);
        Checker.Result result = InMemorySourceProvider.check(text);
        long lines = text.lines().count();
        for (Diagnostic diagnostic : result.diagnostics()) {
            assertTrue(diagnostic.line() >= 1 && diagnostic.line() <= lines + 1, diagnostic::text);
            assertFalse(diagnostic.text().isBlank());
        }
        assertEquals(result.isValid(), result.fleet() != null);
        Formatter.format("f", text, new ArrayList<>());
    }

    private static String mutate(GeneratedFleet generated) {
        StringBuilder text = new StringBuilder(generated.textWithRandomWhitespace());
        int mutations = 1 + generated.random.nextInt(6);
        for (int i = 0; i < mutations; i++) {
            if (text.isEmpty()) {
                text.append("plan");
            }
            mutateOnce(text, generated);
        }
        return text.toString();
    }

    private static void mutateOnce(StringBuilder text, GeneratedFleet generated) {
        int at = generated.random.nextInt(text.length());
        switch (generated.random.nextInt(5)) {
            case 0 -> text.deleteCharAt(at);
            case 1 -> text.insert(at, generated.pick(INSERTIONS));
            case 2 -> text.setCharAt(at, (char) generated.random.nextInt(1, 300));
            case 3 -> text.setLength(Math.max(1, at));
            default -> {
                int end = Math.min(text.length(), at + generated.random.nextInt(200));
                text.insert(at, text.substring(at, end));
            }
        }
    }
}
