package org.sassafrastrail.rules;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.TargetName;

import static org.assertj.core.api.Assertions.assertThat;

class RuleFileReaderTest {

    private final RuleFileParser reader = new RuleFileParser();

    private static String resource(String name) throws IOException {
        try (InputStream stream = RuleFileReaderTest.class.getResourceAsStream(name)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private RuleSet accepted(String text) {
        return ((RuleParseResult.Accepted) reader.parse(text)).rules();
    }

    @Test
    void listsEveryErrorAtOnce() throws IOException {
        RuleParseResult parsing = reader.parse(resource("broken.rules"));

        String errors = ((RuleParseResult.Rejected) parsing)
                .errors().stream()
                        .map(error -> error.line() + ":" + error.column() + " " + error.kind() + ", expected "
                                + error.expected())
                        .collect(Collectors.joining("\n", "", "\n"));
        assertThat(errors).isEqualTo(resource("broken.expected"));
    }

    @Test
    void readsEveryKindOfRule() throws IOException {
        RuleSet rules = accepted(resource("whole.rules"));

        assertThat(rules.account(new AccountName("kitchen")).orElseThrow().weight())
                .isEqualTo(4);
        assertThat(rules.target(new TargetName("booking")).orElseThrow().idempotent())
                .isFalse();
        assertThat(rules.isInService(new FailureDomainName("uppsala"))).isFalse();
        assertThat(rules.moves()).hasSize(1);
    }

    @Test
    void readsBackWhatARuleWrites() throws IOException {
        RuleSet rules = accepted(resource("whole.rules"));

        String written = rules.rules().stream().map(Rule::line).collect(Collectors.joining("\n"));
        assertThat(accepted(written).rules()).isEqualTo(rules.rules());
    }

    @Test
    void acceptsWindowsLineEndsAByteOrderMarkAndAnEmptyFile() {
        assertThat(accepted("\uFEFFdomain uppsala in # karin\r\n\r\n# only a comment\r\n")
                        .rules())
                .hasSize(1);
        assertThat(accepted("").rules()).isEmpty();
    }

    @Test
    void refusesBytesThatAreNotUtf8() {
        RuleParseResult parsing = reader.parse(new byte[] {(byte) 0xC3, (byte) 0x28});

        assertThat(((RuleParseResult.Rejected) parsing).errors().get(0).kind()).isEqualTo(RuleError.Kind.BAD_CHARACTER);
    }

    @Test
    void putsASingleRuleInItsPlaceAndKeepsTheOthers() {
        String text = "# head\ndomain uppsala in # karin\ndomain orebro in # karin\n";

        String changed = new RuleFileEditor()
                .put(text, new FailureDomainRule(new FailureDomainName("uppsala"), false, "lars: fire alarm"));

        assertThat(changed).isEqualTo("# head\ndomain uppsala out # lars: fire alarm\ndomain orebro in # karin\n");
    }

    @Test
    void tellsWhatChanges() {
        RuleDifference difference = RuleDifference.between(
                accepted("domain a in # x\ndomain b in # x\n"), accepted("domain a out # x\ndomain c in # x\n"));

        assertThat(difference.removed()).hasSize(1);
        assertThat(difference.added()).hasSize(1);
        assertThat(difference.changed()).hasSize(1);
    }
}
