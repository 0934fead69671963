package org.sassafrastrail.operator;

import java.util.List;
import java.util.Optional;

import org.sassafrastrail.rules.RuleDocument;

/** {@code rules check|apply|show|history}. */
final class RulesCommand implements OperatorCommand {

    private static final int HISTORY_LENGTH = 20;

    private final RuleFiles files;

    RulesCommand(RuleFiles files) {
        this.files = files;
    }

    @Override
    public String usage() {
        return "rules check FILE | rules apply FILE [--dry-run] | rules show | rules history";
    }

    @Override
    public boolean matches(List<String> words) {
        boolean withFile = words.size() == 3 && List.of("check", "apply").contains(words.get(1));
        boolean alone = words.size() == 2 && List.of("show", "history").contains(words.get(1));
        return words.get(0).equals("rules") && (withFile || alone);
    }

    @Override
    public ExitCode run(OperatorCall call) {
        return switch (call.word(1)) {
            case "check" -> check(call);
            case "apply" -> apply(call);
            case "show" -> show(call);
            default -> history(call);
        };
    }

    private ExitCode check(OperatorCall call) {
        Optional<String> text = files.readChecked(call, call.word(2));
        text.ifPresent(right -> call.print(call.word(2) + ": right"));
        return text.isPresent() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private ExitCode apply(OperatorCall call) {
        Optional<String> text = files.readChecked(call, call.word(2));
        Optional<RuleDocument> base = text.flatMap(right -> files.current(call));
        return base.map(known -> files.propose(call, known, text.orElseThrow())).orElse(ExitCode.FAILED);
    }

    private ExitCode show(OperatorCall call) {
        Optional<RuleDocument> document = files.current(call);
        document.ifPresent(known -> call.output().print(known.text()));
        return document.isPresent() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static ExitCode history(OperatorCall call) {
        call.store()
                .history(HISTORY_LENGTH)
                .forEach(change ->
                        call.print(change.revision().value() + " " + change.changedAt() + " " + change.changedBy()));
        return ExitCode.DONE;
    }
}
