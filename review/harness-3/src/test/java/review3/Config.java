package review3;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** A config of the operator, with the limits of the example in the users' pages. */
final class Config {

    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();

    Config service(String name) {
        services.add(
                """
                {"name":"%s","healthPath":"/health","maxConns":620,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}"""
                        .formatted(name));
        return this;
    }

    Config route(String prefix, String kind, String service, int attempts, int timeoutMillis, boolean prompts) {
        routes.add(
                """
                {"name":"r%d","host":"x.example","prefix":"%s","kind":"%s","timeoutMs":%d,"sloMs":500,"priority":1,
                 "service":"%s","maxAttempts":%d,"anonymous":false,"sticky":%b,"resumable":false,"gapSloMs":400}"""
                        .formatted(routes.size(), prefix, kind, timeoutMillis, service, attempts, prompts));
        return this;
    }

    String toJson(int version) {
        return """
                {"version":%d,"routes":[%s],"services":[%s],
                 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,
                           "tokensPerS":644000}}"""
                .formatted(
                        version,
                        routes.stream().collect(Collectors.joining(",")),
                        services.stream().collect(Collectors.joining(",")));
    }
}
