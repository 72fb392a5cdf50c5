package io.beryldock.call;

/** Checks names that come from settings, announcements or operators. Stateless, thread safe. */
final class Names {

    private Names() {}

    static void check(String what, String value, int maxLength) {
        if (value.isEmpty() || value.length() > maxLength) {
            throw new IllegalArgumentException(what + " must have 1 to " + maxLength + " characters: '" + value + "'");
        }
        if (!value.chars().allMatch(Names::isAllowed)) {
            throw new IllegalArgumentException(
                    what + " may hold letters, digits, dot, dash and underscore only: '" + value + "'");
        }
    }

    private static boolean isAllowed(int ch) {
        return Character.isLetterOrDigit(ch) || ch == '.' || ch == '-' || ch == '_';
    }
}
