package io.beryldock.command;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class AccessTokenTest {

    private final AccessToken token = AccessToken.of("0123456789abcdef\n");

    @Test
    void onlyTheWholeTokenMatches() {
        assertThat(token.matches(Optional.of(token.authorization()))).isTrue();
        assertThat(token.matches(Optional.of("bearer 0123456789abcdef"))).isTrue();
        assertThat(token.matches(Optional.of("Bearer 0123456789abcde"))).isFalse();
        assertThat(token.matches(Optional.of("Bearer 0123456789abcdef0"))).isFalse();
        assertThat(token.matches(Optional.of("Basic 0123456789abcdef"))).isFalse();
        assertThat(token.matches(Optional.empty())).isFalse();
    }

    @Test
    void tokenIsNeitherShortNorLogged() {
        assertThatThrownBy(() -> AccessToken.of("short")).hasMessageContaining("at least 16");
        assertThat(token.toString()).doesNotContain("0123");
    }
}
