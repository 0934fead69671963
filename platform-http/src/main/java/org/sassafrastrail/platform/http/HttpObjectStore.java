package org.sassafrastrail.platform.http;

import java.util.Map;

import org.sassafrastrail.http.HttpCaller;
import org.sassafrastrail.platform.ObjectRead;
import org.sassafrastrail.platform.ObjectStore;

/** The platform's object store over HTTP. */
public final class HttpObjectStore implements ObjectStore {

    private static final byte[] NOTHING = {};

    private final PlatformCalls calls;

    /**
     * Makes the store's client.
     *
     * @param caller calls the platform
     * @param address where the platform is
     */
    public HttpObjectStore(HttpCaller caller, PlatformAddress address) {
        this.calls = new PlatformCalls(caller, address);
    }

    @Override
    public boolean put(String name, byte[] content) {
        return calls.call("PUT", PlatformCalls.path("objects", name), Map.of(), content)
                .filter(reply -> reply.status() == PlatformCalls.Reply.OK)
                .isPresent();
    }

    @Override
    public ObjectRead get(String name) {
        return calls.call("GET", PlatformCalls.path("objects", name), Map.of(), NOTHING)
                .map(HttpObjectStore::read)
                .orElseGet(ObjectRead.Unavailable::new);
    }

    private static ObjectRead read(PlatformCalls.Reply reply) {
        return switch (reply.status()) {
            case PlatformCalls.Reply.OK -> new ObjectRead.Found(reply.body());
            case PlatformCalls.Reply.NOT_FOUND -> new ObjectRead.Absent();
            default -> new ObjectRead.Unavailable();
        };
    }
}
