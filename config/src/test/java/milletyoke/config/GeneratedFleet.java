package milletyoke.config;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Generates a random valid configuration as tokens; the same seed gives the same configuration. */
final class GeneratedFleet {
    final SplittableRandom random;
    final List<String> tokens = new ArrayList<>();

    private GeneratedFleet(long seed) {
        random = new SplittableRandom(seed);
    }

    static GeneratedFleet generate(long seed) {
        GeneratedFleet fleet = new GeneratedFleet(seed);
        int plans = 1 + fleet.random.nextInt(5);
        int categories = 1 + fleet.random.nextInt(4);
        int volumes = fleet.random.nextInt(12);
        fleet.addFleet();
        fleet.addBounds();
        fleet.addTemplate();
        for (int i = 0; i < plans; i++) {
            fleet.addPlan(i);
        }
        for (int i = 0; i < categories; i++) {
            fleet.addCategory(i);
        }
        fleet.add("pool", "main", "{", "targets", "a", ",", "b", ";", "}");
        fleet.add("pool", "spare", "{", "targets", "\"c d\"", ";", "}");
        for (int i = 0; i < volumes; i++) {
            fleet.addVolume(i, plans);
        }
        fleet.add("route", "prefix", "\"/scores/\"", "to", "main", ";");
        return fleet;
    }

    private void addFleet() {
        add("let", "base", "=");
        addQuantity(1, 9, "u/s");
        add(";", "fleet", "{", "initiators", String.valueOf(1 + random.nextInt(9)), ";");
        add("list", pick("pushed", "asked"), ";", "}");
    }

    private void addBounds() {
        add("bounds", "{", "answer-slack");
        addQuantity(10, 90, "ms");
        add(";", "cold");
        addQuantity(5, 20, "s");
        add(";", "fall");
        addQuantity(1, 4, "s");
        add(";", "cold-share", 1 + random.nextInt(99) + "%", ";", "cold-bears", "11u", ";", "}");
    }

    private void addTemplate() {
        add("template", "common", "{", "weight");
        addQuantity(1, 5, "");
        add(";", "}");
    }

    private void addPlan(int number) {
        add("plan", "plan-" + number);
        if (random.nextBoolean()) {
            add("like", "common");
        }
        add("{", "reserve", "base", "*", String.valueOf(1 + random.nextInt(3)), ";");
        add("limit-rate");
        addQuantity(100, 200, "u/s");
        add(";", "limit-depth");
        addQuantity(100, 200, "u");
        add(";", "}");
    }

    private void addCategory(int number) {
        add("category", "\"category " + number + "\"", "{");
        add("repeats", pick("harmless", "stamped", "one-shot"), ";");
        add("repeat-window", "2500ms", ";", "agreed");
        addQuantity(100, 900, "ms");
        add(";", "}");
    }

    private void addVolume(int number, int plans) {
        add("volume", "v" + number + pick("", "-*"), "{");
        add("plan", "plan-" + random.nextInt(plans), ";");
        add("hosts", String.valueOf(1 + random.nextInt(4)), ";", "}");
        add("route", "volume", "v" + number + "-*", "to", pick("main", "spare"), ";");
    }

    private void add(String... added) {
        tokens.addAll(List.of(added));
    }

    String pick(String... choices) {
        return choices[random.nextInt(choices.length)];
    }

    /** Adds a random quantity, written as a literal or as one of several expressions. */
    private void addQuantity(int min, int max, String unit) {
        int value = min + random.nextInt(max - min + 1);
        switch (random.nextInt(4)) {
            case 0 -> add("(", value + unit, ")");
            case 1 -> add(value + unit, "*", "1");
            case 2 -> add(value + unit, "+", "0" + unit);
            default -> add(value + unit);
        }
    }

    /** Returns the text with one space between tokens. */
    String text() {
        return String.join(" ", tokens).replace(" ;", ";");
    }

    /** Returns the text with random white space and comments between tokens. */
    String textWithRandomWhitespace() {
        StringBuilder out = new StringBuilder();
        for (String token : tokens) {
            out.append(randomWhitespace()).append(token);
        }
        return out + pick("", "\n", " # the last word");
    }

    private String randomWhitespace() {
        return pick(
                " ", "  ", "\n", "\t", "\r\n", "\n\n\n", " # why not\n", "\n    # on its own\n\n");
    }
}
