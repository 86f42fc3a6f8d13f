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
 * The access tokens, read from a file that is reloaded when it changes: a token that is removed
 * from the file becomes invalid within a second. The file holds the SHA-256 hash of each token;
 * tokens are 256 random bits, so that they cannot be guessed. Thread-safe.
 */
public final class Tokens {
    private static final Logger LOG = LoggerFactory.getLogger(Tokens.class);
    private static final long CHECK_INTERVAL_NANOS = 500_000_000;
    private static final int HASH_BYTES = 32;
    private static final int TOKEN_BYTES = 32;
    private static final String TOKEN_PREFIX = "my_";

    private static final class Entry {
        private final AccessScope scope;
        private final byte[] hash;
        private final Instant expiresAt;

        Entry(AccessScope scope, byte[] hash, Instant expiresAt) {
            this.scope = scope;
            this.hash = hash;
            this.expiresAt = expiresAt;
        }
    }

    private final Path file;
    private volatile List<Entry> entries;
    private FileTime lastModified;
    private long lastCheckNanos;

    /**
     * Reads the token file.
     *
     * @throws ConfigException if it cannot be used: a console without tokens is not started
     */
    public Tokens(Path file) throws ConfigException {
        this.file = file;
        entries = read(file);
        lastModified = modificationTime();
        lastCheckNanos = System.nanoTime();
    }

    private static List<Entry> read(Path file) throws ConfigException {
        SettingsReader reader = SettingsReader.read(file);
        List<Entry> entries = new ArrayList<>();
        for (SettingsReader element : reader.objects("tokens", true)) {
            entries.add(readEntry(element));
        }
        reader.rejectUnknown();
        return List.copyOf(entries);
    }

    private static Entry readEntry(SettingsReader reader) throws ConfigException {
        AccessScope.Role role = reader.keyword("role", AccessScope.Role.class, null);
        String name = reader.text("name", null);
        byte[] hash = readHash(reader);
        Instant expiresAt = readExpiry(reader);
        List<String> volumes =
                role == AccessScope.Role.TENANT
                        ? List.of(reader.text("volumes", null).split(",\\s*", 0))
                        : List.of();
        reader.rejectUnknown();
        return new Entry(new AccessScope(name, role, volumes), hash, expiresAt);
    }

    private static byte[] readHash(SettingsReader reader) throws ConfigException {
        byte[] hash;
        try {
            hash = HexFormat.of().parseHex(reader.text("sha256", null));
        } catch (IllegalArgumentException notHex) {
            throw reader.error("sha256", "64 hex digits are expected");
        }
        if (hash.length != HASH_BYTES) {
            throw reader.error("sha256", "64 hex digits are expected");
        }
        return hash;
    }

    private static Instant readExpiry(SettingsReader reader) throws ConfigException {
        try {
            return reader.has("until") ? Instant.parse(reader.text("until", null)) : Instant.MAX;
        } catch (DateTimeParseException notATime) {
            throw reader.error("until", "a time as 2027-01-31T00:00:00Z is expected");
        }
    }

    private FileTime modificationTime() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException missing) {
            return null;
        }
    }

    /**
     * Reloads the file if it changed. An invalid file is logged and leaves the tokens unchanged; a
     * removed file invalidates all tokens.
     */
    private synchronized void reloadIfChanged() {
        long nowNanos = System.nanoTime();
        if (nowNanos - lastCheckNanos < CHECK_INTERVAL_NANOS) {
            return;
        }
        lastCheckNanos = nowNanos;
        FileTime modified = modificationTime();
        if (modified != null && modified.equals(lastModified)) {
            return;
        }
        lastModified = modified;
        if (modified == null) {
            LOG.warn("token file missing, all tokens are invalid file={}", file);
            entries = List.of();
            return;
        }
        try {
            entries = read(file);
            LOG.info("token file reloaded file={} tokens={}", file, entries.size());
        } catch (ConfigException invalid) {
            LOG.error("token file invalid, tokens unchanged error={}", invalid.getMessage());
        }
    }

    /**
     * Returns the scope of a token; null if it is invalid or expired. Compares the token with every
     * entry in full, so that the duration discloses nothing about the tokens.
     */
    public AccessScope scope(String token) {
        reloadIfChanged();
        byte[] hash = hash(token);
        Entry found = null;
        for (Entry entry : entries) {
            found = MessageDigest.isEqual(entry.hash, hash) ? entry : found;
        }
        boolean isValid = found != null && !Instant.now().isAfter(found.expiresAt);
        return isValid ? found.scope : null;
    }

    /** Returns the SHA-256 hash of a token. */
    public static byte[] hash(String token) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(token.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** Returns a new random token. */
    public static String make() {
        byte[] random = new byte[TOKEN_BYTES];
        new SecureRandom().nextBytes(random);
        return TOKEN_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(random);
    }
}
