package org.sassafrastrail.operator;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** The command {@code status}, which prints each router's own state, its sidecars and the version moves. */
final class StatusCommand implements OperatorCommand {

    private final ObjectMapper mapper = new ObjectMapper();

    @Override
    public String usage() {
        return "status [--json]";
    }

    @Override
    public boolean matches(List<String> words) {
        return words.equals(List.of("status"));
    }

    @Override
    public ExitCode run(CommandContext context) {
        List<Optional<RouterPageClient.Page>> pages = context.routers().readAll("/operator/status");
        pages.stream().flatMap(Optional::stream).forEach(page -> print(context, page));
        long unavailable = pages.stream().filter(Optional::isEmpty).count();
        if (unavailable > 0) {
            context.print("routers that did not respond: " + unavailable);
        }
        return unavailable == 0 ? ExitCode.DONE : ExitCode.FAILED;
    }

    private void print(CommandContext context, RouterPageClient.Page page) {
        if (context.options().json() || !page.isOk()) {
            context.print(page.text().strip());
            return;
        }
        try {
            printReadable(context, mapper.readTree(page.text()));
        } catch (IOException malformed) {
            context.print(page.router() + ": malformed response");
        }
    }

    private static void printReadable(CommandContext context, JsonNode status) {
        context.print("router " + status.path("node").asText()
                + "  revision " + status.path("revision").asLong()
                + "  waiting " + status.path("waiting").asInt()
                + "  running " + status.path("running").asInt()
                + "  domains out " + status.path("domainsOut"));
        status.path("sidecars").forEach(sidecar -> context.print(sidecarLine(sidecar)));
        status.path("moves").forEach(move -> context.print(moveLine(move)));
    }

    private static String sidecarLine(JsonNode sidecar) {
        return "  sidecar " + sidecar.path("node").asText()
                + "  " + sidecar.path("target").asText()
                + " " + sidecar.path("version").asText()
                + "  in " + sidecar.path("failureDomain").asText()
                + "  revision " + sidecar.path("revision").asLong()
                + "  running " + sidecar.path("inFlight").asInt()
                + " of " + sidecar.path("limit").asInt()
                + (sidecar.path("leaving").asBoolean() ? "  leaving" : "");
    }

    private static String moveLine(JsonNode move) {
        return "  move " + move.path("target").asText()
                + " from " + move.path("from").asText()
                + " to " + move.path("to").asText()
                + " by " + move.path("due").asText()
                + "  share " + move.path("sharePerMille").asInt() + "/1000"
                + "  " + move.path("verdict").asText()
                + (move.path("suspended").asBoolean()
                        ? "  suspended: " + move.path("reason").asText()
                        : "");
    }
}
