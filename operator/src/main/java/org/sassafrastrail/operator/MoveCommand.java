package org.sassafrastrail.operator;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.stream.IntStream;

import org.sassafrastrail.model.Identifiers;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.VersionName;
import org.sassafrastrail.rules.MoveRule;

/** The command {@code move NAME from V to V by TIME}, which orders a version change of a target with a due time. */
final class MoveCommand implements OperatorCommand {

    /** The words of the command; an empty string stands for an argument. */
    private static final List<String> PATTERN = List.of("move", "", "from", "", "to", "", "by", "");

    private final SingleRuleUpdater ruleUpdater;

    MoveCommand(SingleRuleUpdater ruleUpdater) {
        this.ruleUpdater = ruleUpdater;
    }

    @Override
    public String usage() {
        return "move NAME from VERSION to VERSION by TIME --reason WHO-AND-WHY";
    }

    @Override
    public boolean matches(List<String> words) {
        return words.size() == PATTERN.size()
                && IntStream.range(0, PATTERN.size())
                        .allMatch(index -> PATTERN.get(index).isEmpty()
                                ? Identifiers.isName(words.get(index))
                                : PATTERN.get(index).equals(words.get(index)));
    }

    @Override
    public ExitCode run(CommandContext context) {
        VersionName from = new VersionName(context.word(3));
        VersionName to = new VersionName(context.word(5));
        if (from.equals(to)) {
            context.print("a move needs two different versions");
            return ExitCode.USAGE;
        }
        try {
            Instant due = Instant.parse(context.word(7));
            MoveIdentifier move = new MoveIdentifier(new TargetName(context.word(1)), from, to, due);
            return ruleUpdater.put(context, new MoveRule(move, context.options().reason()));
        } catch (DateTimeParseException malformed) {
            context.print("invalid time: expected for example 2026-12-04T18:00:00Z");
            return ExitCode.USAGE;
        }
    }
}
