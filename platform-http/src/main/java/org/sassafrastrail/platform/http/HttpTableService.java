package org.sassafrastrail.platform.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

import org.sassafrastrail.http.HttpCaller;
import org.sassafrastrail.platform.TableRead;
import org.sassafrastrail.platform.TableService;
import org.sassafrastrail.platform.TableWrite;

/** The platform's table over HTTP; conditions travel as entity tags. */
public final class HttpTableService implements TableService {

    private static final byte[] NOTHING = {};

    private final PlatformCalls calls;

    /**
     * Makes the table's client.
     *
     * @param caller calls the platform
     * @param address where the platform is
     */
    public HttpTableService(HttpCaller caller, PlatformAddress address) {
        this.calls = new PlatformCalls(caller, address);
    }

    @Override
    public TableRead read(String key) {
        return calls.call("GET", PlatformCalls.path("table", key), Map.of(), NOTHING)
                .map(HttpTableService::read)
                .orElseGet(TableRead.Unavailable::new);
    }

    private static TableRead read(PlatformCalls.Reply reply) {
        return switch (reply.status()) {
            case PlatformCalls.Reply.OK -> new TableRead.Found(reply.text(), reply.version());
            case PlatformCalls.Reply.NOT_FOUND -> new TableRead.Absent();
            default -> new TableRead.Unavailable();
        };
    }

    @Override
    public TableWrite write(String key, String value, long expectedVersion) {
        return change("PUT", key, value.getBytes(StandardCharsets.UTF_8), expectedVersion);
    }

    @Override
    public TableWrite delete(String key, long expectedVersion) {
        return change("DELETE", key, NOTHING, expectedVersion);
    }

    private TableWrite change(String method, String key, byte[] body, long expectedVersion) {
        Map<String, String> condition = expectedVersion == ABSENT
                ? Map.of("If-None-Match", "*")
                : Map.of("If-Match", "\"" + expectedVersion + "\"");
        Optional<PlatformCalls.Reply> reply = calls.call(method, PlatformCalls.path("table", key), condition, body);
        return reply.map(HttpTableService::written).orElseGet(TableWrite.Unavailable::new);
    }

    private static TableWrite written(PlatformCalls.Reply reply) {
        return switch (reply.status()) {
            case PlatformCalls.Reply.OK -> new TableWrite.Written(reply.version());
            case PlatformCalls.Reply.PRECONDITION_FAILED -> new TableWrite.Conflict();
            default -> new TableWrite.Unavailable();
        };
    }
}
