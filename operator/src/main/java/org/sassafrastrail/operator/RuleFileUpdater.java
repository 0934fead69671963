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

/** Validates rule files and proposes them as the new configuration. */
final class RuleFileUpdater {

    private final RuleFileParser parser = new RuleFileParser();

    /** Reads a file and returns its text if it is valid; prints all errors otherwise. */
    Optional<String> readValidated(CommandContext context, String file) {
        try {
            byte[] bytes = Files.readAllBytes(Path.of(file));
            RuleParseResult result = parser.parse(bytes);
            if (result instanceof RuleParseResult.Rejected rejected) {
                rejected.errors().forEach(error -> context.print(format(file, error)));
                return Optional.empty();
            }
            return Optional.of(new String(bytes, StandardCharsets.UTF_8));
        } catch (IOException unreadable) {
            context.print(file + ": the file can't be read");
            return Optional.empty();
        }
    }

    private static String format(String file, RuleError error) {
        return file + ":" + error.line() + ":" + error.column() + ": "
                + error.kind().name().toLowerCase(Locale.ROOT).replace('_', '-') + ", expected "
                + error.expected();
    }

    /** Reads the rule file in force; prints a message and returns empty if the platform does not respond. */
    Optional<RuleDocument> current(CommandContext context) {
        Optional<RuleDocument> document = context.store().fetchIfNewer(Revision.NONE);
        if (document.isEmpty()) {
            context.print("the platform does not respond; nothing was changed");
        }
        return document;
    }

    /** Prints the differences to the rule file in force and proposes a valid text as its successor, unless in a dry run. */
    ExitCode propose(CommandContext context, RuleDocument base, String text) {
        RuleSet next = rules(text);
        RuleDifference difference = RuleDifference.between(base.rules(), next);
        print(context, "-", difference.removed());
        print(context, "+", difference.added());
        print(context, "~", difference.changed());
        context.print("in force: revision " + base.revision().value() + ", last changed by " + base.changedBy() + " at "
                + base.changedAt());
        if (difference.isEmpty()) {
            context.print("nothing changes");
            return ExitCode.DONE;
        }
        if (context.options().dryRun()) {
            context.print("dry run: nothing was changed");
            return ExitCode.DONE;
        }
        return report(
                context,
                context.store()
                        .propose(
                                text,
                                base.revision(),
                                context.settings().operator(),
                                context.clock().instant()));
    }

    private RuleSet rules(String text) {
        return parser.parse(text) instanceof RuleParseResult.Accepted accepted ? accepted.rules() : RuleSet.EMPTY;
    }

    private static void print(CommandContext context, String marker, List<Rule> rules) {
        rules.forEach(rule -> context.print(marker + " " + rule.line()));
    }

    private static ExitCode report(CommandContext context, RuleFileStore.ProposalResult result) {
        if (result instanceof RuleFileStore.ProposalResult.Accepted accepted) {
            context.print("accepted: revision " + accepted.document().revision().value());
            return ExitCode.DONE;
        }
        if (result instanceof RuleFileStore.ProposalResult.Conflict conflict) {
            context.print("conflict: revision " + conflict.current().revision().value() + " by "
                    + conflict.current().changedBy() + " was accepted first; nothing was changed");
            return ExitCode.FAILED;
        }
        context.print("not confirmed: the platform does not respond; the change may have taken effect, "
                + "see 'rules show' before you retry");
        return ExitCode.FAILED;
    }
}
