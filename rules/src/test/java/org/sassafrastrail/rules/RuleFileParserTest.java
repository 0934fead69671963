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

class RuleFileParserTest {

    private final RuleFileParser parser = new RuleFileParser();

    private static String resource(String name) throws IOException {
        try (InputStream stream = RuleFileParserTest.class.getResourceAsStream(name)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private RuleSet accepted(String text) {
        return ((RuleParseResult.Accepted) parser.parse(text)).rules();
    }

    @Test
    void allErrorsAreReportedAtOnce() throws IOException {
        RuleParseResult result = parser.parse(resource("invalid.rules"));

        String errors = ((RuleParseResult.Rejected) result)
                .errors().stream()
                        .map(error -> error.line() + ":" + error.column() + " " + error.kind() + ", expected "
                                + error.expected())
                        .collect(Collectors.joining("\n", "", "\n"));
        assertThat(errors).isEqualTo(resource("invalid.expected"));
    }

    @Test
    void everyKindOfRuleIsParsed() throws IOException {
        RuleSet rules = accepted(resource("valid.rules"));

        assertThat(rules.account(new AccountName("kitchen")).orElseThrow().weight())
                .isEqualTo(4);
        assertThat(rules.target(new TargetName("booking")).orElseThrow().idempotent())
                .isFalse();
        assertThat(rules.isInService(new FailureDomainName("uppsala"))).isFalse();
        assertThat(rules.moves()).hasSize(1);
    }

    @Test
    void writtenRulesParseToSameRules() throws IOException {
        RuleSet rules = accepted(resource("valid.rules"));

        String written = rules.rules().stream().map(Rule::line).collect(Collectors.joining("\n"));
        assertThat(accepted(written).rules()).isEqualTo(rules.rules());
    }

    @Test
    void windowsLineEndingsByteOrderMarkAndEmptyFileAreAccepted() {
        assertThat(accepted("\uFEFFdomain uppsala in # karin\r\n\r\n# only a comment\r\n")
                        .rules())
                .hasSize(1);
        assertThat(accepted("").rules()).isEmpty();
    }

    @Test
    void invalidUtf8IsRejected() {
        RuleParseResult result = parser.parse(new byte[] {(byte) 0xC3, (byte) 0x28});

        assertThat(((RuleParseResult.Rejected) result).errors().get(0).kind()).isEqualTo(RuleError.Kind.BAD_CHARACTER);
    }

    @Test
    void putReplacesRuleInPlaceAndKeepsOtherLines() {
        String text = "# head\ndomain uppsala in # karin\ndomain orebro in # karin\n";

        String changed = new RuleFileEditor()
                .put(text, new FailureDomainRule(new FailureDomainName("uppsala"), false, "lars: fire alarm"));

        assertThat(changed).isEqualTo("# head\ndomain uppsala out # lars: fire alarm\ndomain orebro in # karin\n");
    }

    @Test
    void differenceListsRemovedAddedAndChangedRules() {
        RuleDifference difference = RuleDifference.between(
                accepted("domain a in # x\ndomain b in # x\n"), accepted("domain a out # x\ndomain c in # x\n"));

        assertThat(difference.removed()).hasSize(1);
        assertThat(difference.added()).hasSize(1);
        assertThat(difference.changed()).hasSize(1);
    }
}
