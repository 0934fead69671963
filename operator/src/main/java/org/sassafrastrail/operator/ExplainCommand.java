package org.sassafrastrail.operator;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.sassafrastrail.model.Identifiers;

/** The command {@code explain REQUEST}, which shows why a request was queued, rejected or retried and where it ran. */
final class ExplainCommand implements OperatorCommand {

    private static final int WORD_COUNT = 2;

    private final ObjectMapper mapper = new ObjectMapper();

    @Override
    public String usage() {
        return "explain REQUEST [--json]";
    }

    @Override
    public boolean matches(List<String> words) {
        return words.size() == WORD_COUNT && words.get(0).equals("explain") && Identifiers.isName(words.get(1));
    }

    @Override
    public ExitCode run(CommandContext context) {
        Optional<RouterPageClient.Page> page =
                context.routers().readAll("/operator/explain/" + context.word(1)).stream()
                        .flatMap(Optional::stream)
                        .filter(RouterPageClient.Page::isOk)
                        .findFirst();
        page.ifPresentOrElse(
                found -> print(context, found), () -> context.print("no router has a record of this request"));
        return page.isPresent() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private void print(CommandContext context, RouterPageClient.Page page) {
        if (context.options().json()) {
            context.print(page.text().strip());
            return;
        }
        try {
            mapper.readTree(page.text()).forEach(step -> context.print(step.asText()));
        } catch (IOException malformed) {
            context.print(page.router() + ": malformed response");
        }
    }
}
