package org.sassafrastrail.model;

import java.util.regex.Pattern;

/**
 * Validates names: letters, digits and the characters {@code . _ : ~ -}, starting with a letter or digit. They contain no
 * white space, control characters or quotes.
 */
public final class Identifiers {

    /** The maximum length of a name, in characters. */
    public static final int MAXIMUM_LENGTH = 128;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:~-]*");

    private Identifiers() {}

    /**
     * Returns whether a text is a valid name.
     *
     * @param text the text, which may be {@code null}
     * @return whether it is a valid name
     */
    public static boolean isName(String text) {
        return text != null
                && text.length() <= MAXIMUM_LENGTH
                && NAME.matcher(text).matches();
    }

    static void requireName(String text, String kind) {
        if (!isName(text)) {
            throw new IllegalArgumentException("not a valid " + kind + " name");
        }
    }
}
