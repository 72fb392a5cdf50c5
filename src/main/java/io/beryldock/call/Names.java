package io.beryldock.call;

/** Validates names that come from settings, announcements or operators. Stateless, thread safe. */
final class Names {

    private Names() {}

    static void check(String label, String value, int maxLength) {
        if (value.isEmpty() || value.length() > maxLength) {
            throw new IllegalArgumentException(label + " must have 1 to " + maxLength + " characters: '" + value + "'");
        }
        for (int i = 0; i < value.length(); i++) {
            if (!isAllowed(value.charAt(i))) {
                throw new IllegalArgumentException(
                        label + " may hold letters, digits, dot, dash and underscore only: '" + value + "'");
            }
        }
    }

    private static boolean isAllowed(char ch) {
        return Character.isLetterOrDigit(ch) || ch == '.' || ch == '-' || ch == '_';
    }
}
