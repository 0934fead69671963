package org.sassafrastrail.operator;

import java.util.List;

import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.Identifiers;
import org.sassafrastrail.rules.FailureDomainRule;

/** The command {@code domain out|in NAME}, which takes a failure domain out of service or back into service. */
final class DomainCommand implements OperatorCommand {

    private static final int WORD_COUNT = 3;

    private final SingleRuleUpdater ruleUpdater;

    DomainCommand(SingleRuleUpdater ruleUpdater) {
        this.ruleUpdater = ruleUpdater;
    }

    @Override
    public String usage() {
        return "domain out|in NAME --reason WHO-AND-WHY";
    }

    @Override
    public boolean matches(List<String> words) {
        return words.size() == WORD_COUNT
                && words.get(0).equals("domain")
                && List.of("out", "in").contains(words.get(1))
                && Identifiers.isName(words.get(2));
    }

    @Override
    public ExitCode run(CommandContext context) {
        FailureDomainName name = new FailureDomainName(context.word(2));
        return ruleUpdater.put(
                context,
                new FailureDomainRule(
                        name, context.word(1).equals("in"), context.options().reason()));
    }
}
