package milletyoke.gateway.console;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import milletyoke.gateway.config.ConfigException;
import milletyoke.gateway.config.SettingsReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who may look, from a file that is read anew when it changes: a token that is taken out of it is
 * of no use within a second. The file has SHA-256 of each token, not the token; tokens are 256
 * random bits, so there is nothing to guess.
 */
public final class Tokens {
    private static final Logger LOG = LoggerFactory.getLogger(Tokens.class);
    private static final long LOOK_EVERY = 500_000_000;

    private record Entry(AccessScope sight, byte[] hash, Instant until) {}

    private final Path file;
    private volatile List<Entry> entries = List.of();
    private FileTime seen;
    private long lookedAt;

    /**
     * @throws SetupError where the file cannot be used: a console without tokens is not started
     */
    public Tokens(Path file) throws ConfigException {
        this.file = file;
        entries = read(file);
        seen = time();
        lookedAt = System.nanoTime();
    }

    private static List<Entry> read(Path file) throws ConfigException {
        SettingsReader f = SettingsReader.read(file);
        List<Entry> all = new ArrayList<>();
        for (SettingsReader t : f.objects("tokens", true)) {
            AccessScope.Role role = t.keyword("role", AccessScope.Role.class, null);
            String name = t.text("name", null);
            byte[] hash;
            try {
                hash = HexFormat.of().parseHex(t.text("sha256", null));
            } catch (IllegalArgumentException notHex) {
                throw t.error("sha256", "64 hex digits are expected");
            }
            if (hash.length != 32) {
                throw t.error("sha256", "64 hex digits are expected");
            }
            Instant until = Instant.MAX;
            try {
                until = t.has("until") ? Instant.parse(t.text("until", null)) : until;
            } catch (DateTimeParseException notATime) {
                throw t.error("until", "a time as 2027-01-31T00:00:00Z is expected");
            }
            List<String> volumes =
                    role == AccessScope.Role.TENANT
                            ? List.of(t.text("volumes", null).split(",\\s*"))
                            : List.of();
            t.rejectUnknown();
            all.add(new Entry(new AccessScope(name, role, volumes), hash, until));
        }
        f.rejectUnknown();
        return List.copyOf(all);
    }

    private FileTime time() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException gone) {
            return null;
        }
    }

    /**
     * Reads the file again if it changed. One that cannot be used revokes nothing and is logged;
     * one gone revokes all.
     */
    private synchronized void follow() {
        long now = System.nanoTime();
        if (now - lookedAt < LOOK_EVERY) {
            return;
        }
        lookedAt = now;
        FileTime latest = time();
        if (latest != null && latest.equals(seen)) {
            return;
        }
        seen = latest;
        if (latest == null) {
            LOG.warn("{} is gone: no token is valid any more", file);
            entries = List.of();
            return;
        }
        try {
            entries = read(file);
            LOG.info("{} was read again: {} tokens", file, entries.size());
        } catch (ConfigException bad) {
            LOG.error("the tokens stay as they were: {}", bad.getMessage());
        }
    }

    /**
     * Whose token it is; null where it is nobody's. Takes as long for any token: every entry is
     * compared in full.
     */
    public AccessScope sight(String token) {
        follow();
        byte[] hash = hash(token);
        Entry found = null;
        for (Entry e : entries) {
            found = MessageDigest.isEqual(e.hash(), hash) ? e : found;
        }
        return found == null || Instant.now().isAfter(found.until()) ? null : found.sight();
    }

    public static byte[] hash(String token) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(token.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** A new token. */
    public static String make() {
        byte[] random = new byte[32];
        new SecureRandom().nextBytes(random);
        return "my_" + Base64.getUrlEncoder().withoutPadding().encodeToString(random);
    }
}
