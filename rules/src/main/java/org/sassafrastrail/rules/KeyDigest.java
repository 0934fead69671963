package org.sassafrastrail.rules;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * The SHA-256 digest of a caller's key; the rule file never contains the key itself.
 *
 * @param hexadecimal 64 lower-case hexadecimal digits
 */
public record KeyDigest(String hexadecimal) {

    private static final String PREFIX = "sha256:";
    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

    /** Validates the digits. */
    public KeyDigest {
        if (!DIGEST.matcher(hexadecimal).matches()) {
            throw new IllegalArgumentException("not a SHA-256 digest");
        }
    }

    /**
     * Computes the digest of a key.
     *
     * @param key the key
     * @return its digest
     */
    public static KeyDigest of(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyDigest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", missing);
        }
    }

    static boolean isValid(String text) {
        return text.startsWith(PREFIX)
                && DIGEST.matcher(text.substring(PREFIX.length())).matches();
    }

    static KeyDigest parse(String text) {
        return new KeyDigest(text.substring(PREFIX.length()));
    }

    /**
     * Returns the digest in the syntax of the rule file.
     *
     * @return the digest with its prefix
     */
    public String text() {
        return PREFIX + hexadecimal;
    }
}
