package org.sassafrastrail.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import org.sassafrastrail.durable.RuleFileStore;
import org.sassafrastrail.model.Revision;
import org.sassafrastrail.rules.Rule;
import org.sassafrastrail.rules.RuleDifference;
import org.sassafrastrail.rules.RuleDocument;
import org.sassafrastrail.rules.RuleError;
import org.sassafrastrail.rules.RuleFileParser;
import org.sassafrastrail.rules.RuleParseResult;
import org.sassafrastrail.rules.RuleSet;

/** Checks rule files and proposes them as the new configuration. */
final class RuleFiles {

    private final RuleFileParser reader = new RuleFileParser();

    /** Reads a file and prints every error. */
    Optional<String> readChecked(OperatorCall call, String file) {
        try {
            byte[] bytes = Files.readAllBytes(Path.of(file));
            RuleParseResult parsing = reader.parse(bytes);
            if (parsing instanceof RuleParseResult.Rejected rejected) {
                rejected.errors().forEach(error -> call.print(line(file, error)));
                return Optional.empty();
            }
            return Optional.of(new String(bytes, StandardCharsets.UTF_8));
        } catch (IOException unreadable) {
            call.print(file + ": the file can't be read");
            return Optional.empty();
        }
    }

    private static String line(String file, RuleError error) {
        return file + ":" + error.line() + ":" + error.column() + ": "
                + error.kind().name().toLowerCase(Locale.ROOT).replace('_', '-') + ", expected "
                + error.expected();
    }

    /** Reads the rule file in force; prints why if it can't be had. */
    Optional<RuleDocument> current(OperatorCall call) {
        Optional<RuleDocument> document = call.store().fetchIfNewer(Revision.NONE);
        if (document.isEmpty()) {
            call.print("the platform does not answer; nothing was changed");
        }
        return document;
    }

    /** Proposes a text that is known to be right. */
    ExitCode propose(OperatorCall call, RuleDocument base, String text) {
        RuleSet next = rules(text);
        RuleDifference difference = RuleDifference.between(base.rules(), next);
        print(call, "-", difference.removed());
        print(call, "+", difference.added());
        print(call, "~", difference.changed());
        call.print("in force: revision " + base.revision().value() + ", last changed by " + base.changedBy() + " at "
                + base.changedAt());
        if (difference.isEmpty()) {
            call.print("nothing changes");
            return ExitCode.DONE;
        }
        if (call.options().dryRun()) {
            call.print("dry run: nothing was changed");
            return ExitCode.DONE;
        }
        return report(
                call,
                call.store()
                        .propose(
                                text,
                                base.revision(),
                                call.settings().operator(),
                                call.clock().instant()));
    }

    private RuleSet rules(String text) {
        return reader.parse(text) instanceof RuleParseResult.Accepted accepted ? accepted.rules() : RuleSet.EMPTY;
    }

    private static void print(OperatorCall call, String mark, List<Rule> rules) {
        rules.forEach(rule -> call.print(mark + " " + rule.line()));
    }

    private static ExitCode report(OperatorCall call, RuleFileStore.ProposalResult change) {
        if (change instanceof RuleFileStore.ProposalResult.Accepted accepted) {
            call.print("accepted: revision " + accepted.document().revision().value());
            return ExitCode.DONE;
        }
        if (change instanceof RuleFileStore.ProposalResult.Conflict conflict) {
            call.print("conflict: revision " + conflict.current().revision().value() + " by "
                    + conflict.current().changedBy() + " came first; nothing was changed");
            return ExitCode.FAILED;
        }
        call.print("not confirmed: the platform does not answer; the change may have taken effect, "
                + "see 'rules show' before you try again");
        return ExitCode.FAILED;
    }
}
