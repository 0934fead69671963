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

/** {@code move NAME from V to V by TIME}. */
final class MoveCommand implements OperatorCommand {

    private static final List<String> PATTERN = List.of("move", "", "from", "", "to", "", "by", "");

    private final ChangeCommand change;

    MoveCommand(ChangeCommand change) {
        this.change = change;
    }

    @Override
    public String usage() {
        return "move NAME from VERSION to VERSION by TIME --reason WHO-AND-WHY";
    }

    @Override
    public boolean matches(List<String> words) {
        return words.size() == PATTERN.size()
                && IntStream.range(0, PATTERN.size())
                        .allMatch(place -> PATTERN.get(place).isEmpty()
                                ? Identifiers.isName(words.get(place))
                                : PATTERN.get(place).equals(words.get(place)));
    }

    @Override
    public ExitCode run(OperatorCall call) {
        VersionName from = new VersionName(call.word(3));
        VersionName to = new VersionName(call.word(5));
        if (from.equals(to)) {
            call.print("a move needs two versions that differ");
            return ExitCode.USAGE;
        }
        try {
            Instant due = Instant.parse(call.word(7));
            MoveIdentifier move = new MoveIdentifier(new TargetName(call.word(1)), from, to, due);
            return change.put(call, new MoveRule(move, call.options().reason()));
        } catch (DateTimeParseException malformed) {
            call.print("not a time: expected one such as 2026-12-04T18:00:00Z");
            return ExitCode.USAGE;
        }
    }
}
