package org.sassafrastrail.operator;

import java.util.Optional;

import org.sassafrastrail.rules.Rule;
import org.sassafrastrail.rules.RuleDocument;
import org.sassafrastrail.rules.RuleFileEditor;
import org.sassafrastrail.rules.RuleFileParser;
import org.sassafrastrail.rules.RuleParseResult;

/** Adds a single rule to the rule file in force, or replaces it there. */
final class SingleRuleUpdater {

    private final RuleFileUpdater updater;
    private final RuleFileEditor editor = new RuleFileEditor();

    SingleRuleUpdater(RuleFileUpdater updater) {
        this.updater = updater;
    }

    ExitCode put(CommandContext context, Rule rule) {
        if (context.options().reason().isBlank()) {
            context.print("--reason is missing: who asked for the change?");
            return ExitCode.USAGE;
        }
        Optional<RuleDocument> base = updater.current(context);
        return base.map(current -> propose(context, current, editor.put(current.text(), rule)))
                .orElse(ExitCode.FAILED);
    }

    private ExitCode propose(CommandContext context, RuleDocument base, String text) {
        if (new RuleFileParser().parse(text) instanceof RuleParseResult.Rejected rejected) {
            rejected.errors().forEach(error -> context.print(error.kind() + ", expected " + error.expected()));
            return ExitCode.FAILED;
        }
        return updater.propose(context, base, text);
    }
}
