package org.sassafrastrail.operator;

import java.util.Optional;

import org.sassafrastrail.rules.Rule;
import org.sassafrastrail.rules.RuleDocument;
import org.sassafrastrail.rules.RuleFileEditor;
import org.sassafrastrail.rules.RuleFileParser;
import org.sassafrastrail.rules.RuleParseResult;

/** Puts a single rule into the rule file in force. */
final class ChangeCommand {

    private final RuleFiles files;
    private final RuleFileEditor editor = new RuleFileEditor();

    ChangeCommand(RuleFiles files) {
        this.files = files;
    }

    ExitCode put(OperatorCall call, Rule rule) {
        if (call.options().reason().isBlank()) {
            call.print("--reason is missing: who asked for the change?");
            return ExitCode.USAGE;
        }
        Optional<RuleDocument> base = files.current(call);
        return base.map(known -> propose(call, known, editor.put(known.text(), rule)))
                .orElse(ExitCode.FAILED);
    }

    private ExitCode propose(OperatorCall call, RuleDocument base, String text) {
        if (new RuleFileParser().parse(text) instanceof RuleParseResult.Rejected rejected) {
            rejected.errors().forEach(error -> call.print(error.kind() + ", expected " + error.expected()));
            return ExitCode.FAILED;
        }
        return files.propose(call, base, text);
    }
}
