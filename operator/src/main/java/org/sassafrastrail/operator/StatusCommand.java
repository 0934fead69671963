package org.sassafrastrail.operator;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** {@code status}: what every router says of itself, its sidecars and the moves. */
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
    public ExitCode run(OperatorCall call) {
        List<Optional<RouterPages.Page>> pages = call.routers().readAll("/operator/status");
        pages.stream().flatMap(Optional::stream).forEach(page -> print(call, page));
        long silent = pages.stream().filter(Optional::isEmpty).count();
        if (silent > 0) {
            call.print("routers that did not answer: " + silent);
        }
        return silent == 0 ? ExitCode.DONE : ExitCode.FAILED;
    }

    private void print(OperatorCall call, RouterPages.Page page) {
        if (call.options().json() || !page.found()) {
            call.print(page.text().strip());
            return;
        }
        try {
            printForPeople(call, mapper.readTree(page.text()));
        } catch (IOException malformed) {
            call.print(page.router() + ": unreadable answer");
        }
    }

    private static void printForPeople(OperatorCall call, JsonNode status) {
        call.print("router " + status.path("node").asText()
                + "  revision " + status.path("revision").asLong()
                + "  waiting " + status.path("waiting").asInt()
                + "  running " + status.path("running").asInt()
                + "  domains out " + status.path("domainsOut"));
        status.path("sidecars").forEach(sidecar -> call.print(sidecarLine(sidecar)));
        status.path("moves").forEach(move -> call.print(moveLine(move)));
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
