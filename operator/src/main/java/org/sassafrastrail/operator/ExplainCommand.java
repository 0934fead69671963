package org.sassafrastrail.operator;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.sassafrastrail.model.Identifiers;

/** {@code explain REQUEST}: why it waited, where it ran, why it was refused or tried again. */
final class ExplainCommand implements OperatorCommand {

    private static final int WORDS = 2;

    private final ObjectMapper mapper = new ObjectMapper();

    @Override
    public String usage() {
        return "explain REQUEST [--json]";
    }

    @Override
    public boolean matches(List<String> words) {
        return words.size() == WORDS && words.get(0).equals("explain") && Identifiers.isName(words.get(1));
    }

    @Override
    public ExitCode run(OperatorCall call) {
        Optional<RouterPages.Page> page = call.routers().readAll("/operator/explain/" + call.word(1)).stream()
                .flatMap(Optional::stream)
                .filter(RouterPages.Page::found)
                .findFirst();
        page.ifPresentOrElse(found -> print(call, found), () -> call.print("no router remembers this request"));
        return page.isPresent() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private void print(OperatorCall call, RouterPages.Page page) {
        if (call.options().json()) {
            call.print(page.text().strip());
            return;
        }
        try {
            mapper.readTree(page.text()).forEach(step -> call.print(step.asText()));
        } catch (IOException malformed) {
            call.print(page.router() + ": unreadable answer");
        }
    }
}
