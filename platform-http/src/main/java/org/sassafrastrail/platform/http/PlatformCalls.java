package org.sassafrastrail.platform.http;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

import org.sassafrastrail.http.HttpAnswer;
import org.sassafrastrail.http.HttpCall;
import org.sassafrastrail.http.HttpCaller;
import org.sassafrastrail.http.HttpResult;

/** Calls the platform and gathers whole answers. */
final class PlatformCalls {

    private final HttpCaller caller;
    private final PlatformAddress address;

    PlatformCalls(HttpCaller caller, PlatformAddress address) {
        this.caller = caller;
        this.address = address;
    }

    /** A whole answer. */
    record Reply(int status, byte[] body, long version) {

        static final int OK = 200;
        static final int NOT_FOUND = 404;
        static final int PRECONDITION_FAILED = 412;

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    Optional<Reply> call(String method, String path, Map<String, String> headers, byte[] body) {
        HttpResult result = caller.call(
                new HttpCall(address.host(), address.port(), method, path, headers, body, address.patience(), true));
        return result instanceof HttpResult.Answered answered ? gather(answered.answer()) : Optional.empty();
    }

    static String path(String collection, String name) {
        return "/" + collection + "/" + URLEncoder.encode(name, StandardCharsets.UTF_8);
    }

    private static Optional<Reply> gather(HttpAnswer answer) {
        try (answer) {
            byte[] body = answer.body().readAllBytes();
            long version = answer.header("ETag").map(PlatformCalls::version).orElse(0L);
            return Optional.of(new Reply(answer.status(), body, version));
        } catch (IOException cut) {
            return Optional.empty();
        }
    }

    private static long version(String tag) {
        return Long.parseLong(tag.replace("\"", ""));
    }
}
