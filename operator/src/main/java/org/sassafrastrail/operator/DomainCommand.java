package org.sassafrastrail.operator;

import java.util.List;

import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.Identifiers;
import org.sassafrastrail.rules.FailureDomainRule;

/** {@code domain out|in NAME}. */
final class DomainCommand implements OperatorCommand {

    private static final int WORDS = 3;

    private final ChangeCommand change;

    DomainCommand(ChangeCommand change) {
        this.change = change;
    }

    @Override
    public String usage() {
        return "domain out|in NAME --reason WHO-AND-WHY";
    }

    @Override
    public boolean matches(List<String> words) {
        return words.size() == WORDS
                && words.get(0).equals("domain")
                && List.of("out", "in").contains(words.get(1))
                && Identifiers.isName(words.get(2));
    }

    @Override
    public ExitCode run(OperatorCall call) {
        FailureDomainName name = new FailureDomainName(call.word(2));
        return change.put(
                call,
                new FailureDomainRule(
                        name, call.word(1).equals("in"), call.options().reason()));
    }
}
