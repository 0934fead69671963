package org.sassafrastrail.operator;

import java.util.List;
import java.util.Optional;

import org.sassafrastrail.rules.RuleDocument;

/** The commands {@code rules check|apply|show|history}, which validate, change and list the rule file in force. */
final class RulesCommand implements OperatorCommand {

    private static final int HISTORY_LENGTH = 20;

    private final RuleFileUpdater updater;

    RulesCommand(RuleFileUpdater updater) {
        this.updater = updater;
    }

    @Override
    public String usage() {
        return "rules check FILE | rules apply FILE [--dry-run] | rules show | rules history";
    }

    @Override
    public boolean matches(List<String> words) {
        boolean takesFile = words.size() == 3 && List.of("check", "apply").contains(words.get(1));
        boolean takesNoFile = words.size() == 2 && List.of("show", "history").contains(words.get(1));
        return words.get(0).equals("rules") && (takesFile || takesNoFile);
    }

    @Override
    public ExitCode run(CommandContext context) {
        return switch (context.word(1)) {
            case "check" -> check(context);
            case "apply" -> apply(context);
            case "show" -> show(context);
            default -> history(context);
        };
    }

    private ExitCode check(CommandContext context) {
        Optional<String> text = updater.readValidated(context, context.word(2));
        text.ifPresent(valid -> context.print(context.word(2) + ": valid"));
        return text.isPresent() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private ExitCode apply(CommandContext context) {
        Optional<String> text = updater.readValidated(context, context.word(2));
        Optional<RuleDocument> base = text.flatMap(valid -> updater.current(context));
        return base.map(current -> updater.propose(context, current, text.orElseThrow()))
                .orElse(ExitCode.FAILED);
    }

    private ExitCode show(CommandContext context) {
        Optional<RuleDocument> document = updater.current(context);
        document.ifPresent(current -> context.output().print(current.text()));
        return document.isPresent() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static ExitCode history(CommandContext context) {
        context.store()
                .history(HISTORY_LENGTH)
                .forEach(change ->
                        context.print(change.revision().value() + " " + change.changedAt() + " " + change.changedBy()));
        return ExitCode.DONE;
    }
}
