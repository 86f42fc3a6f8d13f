package milletyoke.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Provides files from memory; a pattern that ends in {@code *} matches by prefix. */
final class InMemorySourceProvider implements SourceProvider {
    final Map<String, String> files = new LinkedHashMap<>();

    InMemorySourceProvider with(String name, String text) {
        files.put(name, text);
        return this;
    }

    @Override
    public List<String> find(String from, String pattern) throws UnreadableSourceException {
        List<String> found =
                files.keySet().stream()
                        .filter(
                                file ->
                                        pattern.endsWith("*")
                                                ? file.startsWith(
                                                        pattern.substring(0, pattern.length() - 1))
                                                : file.equals(pattern))
                        .sorted()
                        .toList();
        if (found.isEmpty()) {
            throw new UnreadableSourceException("there is no such file");
        }
        return found;
    }

    @Override
    public String text(String file) throws UnreadableSourceException {
        if (!files.containsKey(file)) {
            throw new UnreadableSourceException("there is no such file");
        }
        return files.get(file);
    }

    static Checker.Result check(String text) {
        return Checker.check(new InMemorySourceProvider().with("f", text), "f");
    }
}
